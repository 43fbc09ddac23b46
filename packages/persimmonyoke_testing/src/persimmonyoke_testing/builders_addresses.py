"""Simulated callers that use the address answers of a deployment."""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from persimmonyoke_testing.builders_deployment import call
from persimmonyoke_testing.deployment import Deployment

SAMPLE_S = 0.1


@dataclass
class AddressCallers:
    """Run callers that ask every ``max_age_s`` and use the first address.

    Each host reports a load proportional to its callers, so that oscillation between
    hosts would reinforce itself; ``mean_load`` is the load at an equal share.
    """

    deployment: Deployment
    callers: int
    seed: int
    mean_load: float = 0.5
    callers_by_host: Counter[str] = field(default_factory=Counter)
    samples: list[Counter[str]] = field(default_factory=list)
    answers: list[tuple[float, str, tuple[str, ...]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._tasks: list[gevent.Greenlet] = []
        self._host_names = {
            node.callers_url.removeprefix("http://"): node.name
            for node in self.deployment.entries
        }
        self._zones = self.deployment.firm.availability_zones

    def start(self) -> None:
        """Start the callers within one second, as after an outage, and the sampling."""
        equal = self.callers / len(self.deployment.entries)
        for node in self.deployment.entries:
            node.admission.load_share = lambda name=node.name: (
                self.mean_load * self.callers_by_host[name] / equal
            )
        for number in range(self.callers):
            self._tasks.append(gevent.spawn(self._run, number))
        self._tasks.append(gevent.spawn(self._sample))

    def stop(self) -> None:
        """Stop the callers and the sampling."""
        gevent.killall(self._tasks)

    def peak_to_mean_ratios(self, since: int) -> list[float]:
        """Return the ratio of the largest share of a host to the mean, per sample."""
        hosts = len(self.deployment.entries)
        return [
            max(sample.values()) * hosts / sum(sample.values())
            for sample in self.samples[since:]
            if sample
        ]

    def _run(self, number: int) -> None:
        zone = self._zones[number % len(self._zones)]
        entries = self.deployment.entries
        address = self._rng.choice(entries).callers_url.removeprefix("http://")
        gevent.sleep(self._rng.random())
        current_host = ""
        while True:
            answer = call(
                "GET",
                f"http://{address}/v1/addresses?availability_zone={zone}",
                key=self.deployment.firm.workspace_key,
            ).json
            names = tuple(self._host_names[item] for item in answer["addresses"])
            self.answers.append((time.monotonic(), zone, names))
            if not names:
                # A host that is cut off from its peers returns no address.
                address = self._rng.choice(list(self._host_names))
                gevent.sleep(answer["max_age_s"])
                continue
            address = answer["addresses"][0]
            if current_host:
                self.callers_by_host[current_host] -= 1
            current_host = names[0]
            self.callers_by_host[current_host] += 1
            gevent.sleep(answer["max_age_s"])

    def _sample(self) -> None:
        while True:
            gevent.sleep(SAMPLE_S)
            self.samples.append(Counter(self.callers_by_host))
