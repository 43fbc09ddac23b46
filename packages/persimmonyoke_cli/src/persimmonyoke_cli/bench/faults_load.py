"""Load generator that follows the advertised addresses while hosts are replaced."""

import random
import time
import uuid
from collections import Counter
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event
from urllib3.exceptions import HTTPError

from persimmonyoke_cli.bench.faults_world import Testbed
from persimmonyoke_testing.builders_deployment import CallerStream, call, call_service
from persimmonyoke_testing.engine import expected_text

STREAM_CALLERS = 5
SERVICE_CALLERS = 2
TOKENS = 60
"""Streams outlast the period during which a leaving host accepts new requests."""

JOIN_TIMEOUT_S = 30.0
EXCUSED_SERVICE_CODES = ("store_unavailable",)


class AddressCache:
    """Cache an address until its max-age expires, as callers do."""

    def __init__(self, fetch: Callable[[], tuple[str, float]]) -> None:
        self._fetch = fetch
        self._url = ""
        self._end_s = 0.0

    def url(self) -> str:
        """Return an address whose max-age has not expired."""
        asked_s = time.monotonic()
        if asked_s >= self._end_s:
            self._url, max_age_s = self._fetch()
            self._end_s = asked_s + max_age_s
        return self._url


class Load:
    """Run streams and calls until stopped, and record each one that was interrupted.

    ``is_excused`` tells whether the process at a URL was deliberately killed without
    a graceful shutdown, so that its requests may be interrupted.
    """

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self.interrupted: list[str] = []
        self.counts: Counter[str] = Counter()
        self.is_excused: Callable[[str], bool] = lambda url: False
        self._world = testbed
        self._rng = rng
        self._known = testbed.urls()
        self._stopped = Event()
        self._tasks = [gevent.spawn(self._stream_loop) for _ in range(STREAM_CALLERS)]
        self._tasks += [
            gevent.spawn(self._service_loop) for _ in range(SERVICE_CALLERS)
        ]

    def stop(self) -> None:
        """Stop after each caller has completed its current request."""
        self._stopped.set()
        gevent.joinall(self._tasks, timeout=JOIN_TIMEOUT_S)
        if any(not task.ready() for task in self._tasks):
            self.interrupted.append(
                f"a request did not end within {JOIN_TIMEOUT_S:g} s"
            )
        gevent.killall(self._tasks)

    def _address(self) -> tuple[str, float]:
        """Return an address and its max-age.

        Hosts are queried in random order; those that do not answer are skipped.
        """
        for url in self._shuffled(self._known):
            try:
                answer = call(
                    "GET", f"{url}/v1/addresses", key=self._world.firm.workspace_key
                )
            except (HTTPError, OSError):
                continue
            if answer.status == 200 and answer.json["addresses"]:
                max_age_s = float(answer.json["max_age_s"])
                return f"http://{answer.json['addresses'][0]}", max_age_s
        gevent.sleep(0.1)
        return self._rng.choice(self._known), 0.0

    def _shuffled(self, urls: Iterable[str]) -> list[str]:
        shuffled = list(urls)
        self._rng.shuffle(shuffled)
        return shuffled

    def _stream_loop(self) -> None:
        addresses = AddressCache(self._address)
        while not self._stopped.is_set():
            url, prompt = addresses.url(), f"load {self._rng.getrandbits(48):x}"
            started_s, text, finished, reason = time.monotonic(), "", False, ""
            try:
                stream = CallerStream(
                    url, self._world.firm, prompt=prompt, max_tokens=TOKENS
                )
                text = stream.read() if stream.status == 200 else ""
                finished, reason = stream.finished, f"status {stream.status}"
            except (HTTPError, OSError) as error:
                reason = type(error).__name__
            self.counts["streams"] += 1
            whole = finished and text == expected_text(prompt, TOKENS)
            if not whole:
                self._record_interruption(
                    url, f"stream, {reason}, {len(text)} characters", started_s
                )

    def _service_loop(self) -> None:
        addresses = AddressCache(self._address)
        while not self._stopped.is_set():
            url, started_s = addresses.url(), time.monotonic()
            try:
                answer = call_service(
                    url, self._world.firm, key=str(uuid.uuid4()), body={}
                )
            except (HTTPError, OSError) as error:
                self._record_interruption(
                    url, f"call, {type(error).__name__}", started_s
                )
                continue
            self.counts["calls"] += 1
            if answer.status != 201:
                code = answer.json["error"]["code"]
                if code not in EXCUSED_SERVICE_CODES:
                    self._record_interruption(url, f"call, {code}", started_s)
            gevent.sleep(0.05)

    def _record_interruption(self, url: str, text: str, started_s: float) -> None:
        if self.is_excused(url):
            self.counts["excused"] += 1
            return
        elapsed_s = time.monotonic() - started_s
        self.interrupted.append(f"{text} at {url} after {elapsed_s:.2f} s")
