"""A host without the store begins streams at a version that others have forgotten.

Each deployment has three hosts and six engines, most of version v1 and, as a release
goes on, of v2. The store turns one host away while the versions change.
"""

import asyncio
import json
import os
import sys
import time
from base64 import b64decode
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from replicas import SWITCH_S, Engine  # noqa: E402
from stream_client import Answer, Link, read_stream  # noqa: E402
from world import (  # noqa: E402
    ENGINE_LIMITS,
    ZONES,
    CaseFailed,
    World,
    configuration,
    route,
)

HELD, BROKEN, NOT_RUN = 0, 1, 2
VERSIONS_KEY = "persimmonyoke/streams/versions/llm"
TIMEOUT_S = 2.0
LIFE_S = 2 * TIMEOUT_S + 4.0
"""Time for which hosts remember a former version, as docs/platform.md says."""

AWAY_S = 9.0
"""Time for which the store turns one host of three away, a share of 0.33."""

AWAY_BEFORE_CHANGE_S = 0.1
DRAIN_S, RELEASE_GAP_S = 2.5, 1.0
TOKENS, TOKEN_S = 18, 0.1
STREAMS, ALLOWED = 5, 2
"""Streams that are resumed, and those that may hold events of two versions."""

FIRST_BEFORE_END_S = 1.0
"""Time before the former version is forgotten at which the streams begin."""

RESUMED_AFTER_S = 0.05
RUN_S = 112.0
ROUND_S = 32.0
AT_ONCE = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play_round(number: int) -> bool:
    """Play one deployment; return whether the rule was broken."""
    async with World(FOLDER / "record.txt", deployment=number) as world:
        world.record("begin", trouble=TROUBLE)
        await start(world)
        names = list(world.hosts)
        # The last host by name is the last one that would change the record.
        away, other = names[-1], names[0]
        link = Link(world.hosts[away].front)
        port = await link.start()
        try:
            return await change_version(world, away, other, link, port)
        finally:
            await link.close()


async def change_version(
    world: World, away: str, other: str, link: Link, port: int
) -> bool:
    """Go on with the release, begin a stream at one host, and resume it at another."""
    await release(world)
    if not await world.until(lambda: bool(world.of_kind("order")), 8.0):
        raise CaseFailed("no engine of v2 is ordered to decode")
    await asyncio.sleep(SWITCH_S - AWAY_BEFORE_CHANGE_S)
    away_s = world.now_s()
    if TROUBLE:
        world.store.turned_away.add(away)
        world.record("store turns away", host=away)
    if not await world.until(lambda: versions(world).get("active") == "v2", 4.0):
        raise CaseFailed("streams do not begin at v2")
    world.record("versions", **versions(world))
    await asyncio.sleep(LIFE_S - FIRST_BEFORE_END_S)
    firsts = [Answer() for _ in range(STREAMS)]
    seconds = [Answer() for _ in range(STREAMS)]
    reading = [
        asyncio.create_task(read_stream(port, headers(number, 0), first))
        for number, first in enumerate(firsts)
    ]
    if not await world.until(lambda: not versions(world).get("earlier"), 4.0):
        raise CaseFailed("the former version is not forgotten")
    world.record("versions", **versions(world))
    await asyncio.sleep(RESUMED_AFTER_S)
    link.reset()
    world.record("connections reset", host=away)
    await asyncio.gather(*reading)
    port = world.hosts[other].front
    resuming = [
        asyncio.create_task(read_stream(port, headers(number, first.last_id), second))
        for number, (first, second) in enumerate(zip(firsts, seconds, strict=True))
    ]
    await asyncio.sleep(max(0.0, away_s + AWAY_S - world.now_s()))
    world.store.turned_away.clear()
    world.record("store serves", host=away, away_s=round(world.now_s() - away_s, 3))
    await asyncio.gather(*resuming)
    return is_broken(world, firsts, seconds)


def is_broken(world: World, firsts: list[Answer], seconds: list[Answer]) -> bool:
    """Return whether more streams than allowed hold events of two versions."""
    joined = 0
    for number, (first, second) in enumerate(zip(firsts, seconds, strict=True)):
        begun, resumed = ([data for _, data in a.events] for a in (first, second))
        world.record(
            "stream",
            number=number,
            statuses=[first.status, second.status],
            begun=begun,
            resumed=resumed,
        )
        joined += len({data.split(".")[0] for data in [*begun, *resumed]}) > 1
    if joined > ALLOWED:
        world.record("broken", streams=joined)
    return joined > ALLOWED


async def release(world: World) -> None:
    """Replace two engines of v1 by engines of v2, one after the other."""
    for number, former in enumerate(world.replicas[2:4], start=2):
        await add_engine(world, f"i-b{number}", "v2", "prefill", number)
        former.draining = True
        former.register()
        world.record("replaced", replica=former.name)
        asyncio.get_running_loop().call_later(
            DRAIN_S, world.store.remove, f"servers/{former.name}"
        )
        await asyncio.sleep(RELEASE_GAP_S)


async def start(world: World) -> None:
    """Start three hosts, four engines of v1 and two of v2; streams begin at v1."""
    story = route("story", "/story/", "llm", "streaming", sticky=True, resumable=True)
    story.update({"gap-aim-ms": 150, "timeout-ms": int(TIMEOUT_S * 1_000)})
    services = [{"name": "llm", "engine": ENGINE_LIMITS}]
    world.store.put("op/config", configuration(1, [story], services))
    for number, zone in enumerate(ZONES):
        (await world.add_host(f"front-{number}-{zone}", zone)).start()
    for number in range(4):
        stage = "decode" if number == 0 else "prefill"
        await add_engine(world, f"i-a{number}", "v1", stage, number)
    for number in range(2):
        await add_engine(world, f"i-b{number}", "v2", "prefill", number)
    await world.until_ready()
    begun_at_v1 = {"active": "v1", "earlier": []}
    if not await world.until(lambda: versions(world) == begun_at_v1, LIFE_S + 4.0):
        raise CaseFailed("streams do not begin at v1 alone")
    world.record("versions", **versions(world))


async def add_engine(
    world: World, name: str, version: str, stage: str, number: int
) -> None:
    """Add one engine of a version."""
    engine = Engine(name, "llm", ZONES[number % len(ZONES)], world.store, stage)
    engine.version, engine.token_s = version, TOKEN_S
    await world.add_replica(engine)


def versions(world: World) -> dict:
    """Return the record of the versions that began streams."""
    item = world.store.items.get(VERSIONS_KEY)
    return json.loads(b64decode(item.row()["value"])) if item else {}


def headers(number: int, last_id: int) -> dict[str, str]:
    """Return the headers of the first attempt at a stream, or of its resumption."""
    common = {
        "Deadline-Ms": "4000",
        "Model": "m",
        "Token-Count": f"100,{TOKENS}",
        "Prompt-Prefix": f"5c1e07a2:50,e4402b{number:02x}:50",
    }
    if not last_id:
        return {"Request-Id": f"first-{number}", **common}
    resumes = {"Last-Event-Id": str(last_id), "Resumes": f"first-{number}"}
    return {"Request-Id": f"second-{number}", **resumes, **common}


async def main() -> int:
    """Play deployments until the rule is broken or the time is up."""
    (FOLDER / "record.txt").write_text("")
    started_s, number = time.monotonic(), 0
    while time.monotonic() - started_s < RUN_S - ROUND_S:
        rounds = range(number + 1, number + 1 + AT_ONCE)
        number += AT_ONCE
        if any(await asyncio.gather(*map(play_round, rounds))):
            print(f"ORDER broken in one of the rounds {rounds[0]} to {rounds[-1]}")
            return BROKEN
    print(f"ORDER held in {number} rounds")
    return HELD


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except CaseFailed as error:
        print(f"case could not run: {error}")
        code = NOT_RUN
    sys.exit(code)
