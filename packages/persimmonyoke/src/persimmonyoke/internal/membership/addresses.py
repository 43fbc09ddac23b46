"""Selection of the entry hosts whose addresses a caller gets."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.membership.hosts import HostInfo, HostView

MAX_ADDRESSES = 4
DEFAULT_MAX_AGE_S = 10.0
OVERLOADED_SHARE = 0.95
# Assumed load of a host that has not reported one yet. A low value would send every
# caller to a host that has just started.
UNKNOWN_LOAD_SHARE = 0.5
# Minimum weight of a host that is not overloaded. Loads are up to seconds old, so a
# host that reported 0.94 may have spare capacity by now.
MIN_SPARE_SHARE = 0.05
# Spare share of a zone from which all of its callers stay in the zone. Below it, a
# growing part of them gets other zones first; a hard limit would move all callers of
# the zone at once.
LOCAL_ONLY_SPARE_SHARE = 0.25
# Minimum share of the maximum age that an answer gets. Without this jitter, callers
# that start together, as after an outage, would keep asking together, and each burst
# would be distributed by loads that do not include it yet.
MIN_AGE_SHARE = 0.5


@dataclass(frozen=True)
class AddressAnswer:
    """Hold the addresses for a caller, best first, and how long they may be used."""

    addresses: tuple[str, ...]
    max_age_s: float


def choose_addresses(
    view: HostView,
    *,
    caller_zone: str,
    load_by_host: Mapping[str, float],
    now_s: float,
    rng: random.Random,
    max_age_s: float = DEFAULT_MAX_AGE_S,
    max_addresses: int = MAX_ADDRESSES,
) -> AddressAnswer:
    """Choose addresses at random, weighted by spare capacity, own zone first.

    ``load_by_host`` maps hosts to the share of their capacity in use. Draining and
    silent hosts are excluded, and also overloaded ones unless all are overloaded.
    ``max_age_s`` bounds the age of an answer; the age of each answer is randomised.
    """
    hosts = _usable_hosts(view, now_s)
    spare = {host.name: _spare_share(host.name, load_by_host) for host in hosts}
    candidates = [host for host in hosts if spare[host.name] > 0.0] or hosts
    own = [host for host in candidates if host.availability_zone == caller_zone]
    other = [host for host in candidates if host.availability_zone != caller_zone]
    ordered = _weighted_shuffle(own, spare, rng) + _weighted_shuffle(other, spare, rng)
    if own and other and rng.random() >= _own_zone_first_probability(own, spare):
        ordered = _weighted_shuffle(other, spare, rng) + _weighted_shuffle(
            own, spare, rng
        )
    chosen = ordered[:max_addresses]
    check_invariant(
        not any(view.is_leaving(host.name) for host in chosen),
        Invariant.NO_NEW_WORK_WHEN_LEAVING,
        "an address answer names a leaving host",
    )
    age_s = max_age_s * rng.uniform(MIN_AGE_SHARE, 1.0)
    return AddressAnswer(tuple(host.callers_address for host in chosen), age_s)


def _usable_hosts(view: HostView, now_s: float) -> list[HostInfo]:
    return [
        host
        for host in view.live_hosts(now_s)
        if host.callers_address and not view.is_silent(host.name, now_s)
    ]


def _spare_share(name: str, load_by_host: Mapping[str, float]) -> float:
    load = load_by_host.get(name, UNKNOWN_LOAD_SHARE)
    if load >= OVERLOADED_SHARE:
        return 0.0
    return max(MIN_SPARE_SHARE, 1.0 - load)


def _own_zone_first_probability(
    own: Sequence[HostInfo], spare: Mapping[str, float]
) -> float:
    mean = sum(spare[host.name] for host in own) / len(own)
    return min(1.0, mean / LOCAL_ONLY_SPARE_SHARE)


def _weighted_shuffle(
    hosts: Sequence[HostInfo], spare: Mapping[str, float], rng: random.Random
) -> list[HostInfo]:
    # Weighted sampling without replacement (Efraimidis and Spirakis): each host draws
    # an exponential variate whose rate is its weight, and the smallest comes first.
    def sort_key(host: HostInfo) -> float:
        return rng.expovariate(max(spare[host.name], MIN_SPARE_SHARE))

    return sorted(hosts, key=sort_key)
