"""Open-loop HTTP client of the ``mix`` and ``overload`` benchmarks."""

import json
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

import gevent
from gevent import socket

from persimmonyoke_testing.engine import expected_text

RECEIVE_BYTES = 65_536
TIMEOUT_S = 30.0
FIRST_TOKEN_S, INTER_TOKEN_S = 0.99, 0.034


@dataclass(frozen=True)
class Arrival:
    """Describe a request: its send time relative to the start, and its token counts."""

    at_s: float
    prompt_tokens: int
    output_tokens: int
    key: str = ""


@dataclass
class Outcome:
    """Hold the outcome of one request; times are relative to the planned send time."""

    arrival: Arrival
    status: int = 0
    lag_s: float = 0.0
    first_s: float | None = None
    last_s: float | None = None
    complete: bool = False
    wrong: bool = False
    slow_gaps: int = 0
    retry_after_s: float | None = None

    @property
    def good(self) -> bool:
        """Whether the response was complete and met its deadlines."""
        if not self.complete or self.first_s is None:
            return False
        return self.first_s <= FIRST_TOKEN_S and self.slow_gaps == 0


@dataclass
class Callers:
    """Send requests at their planned times, round-robin over the entry hosts."""

    addresses: tuple[str, ...]
    model: str
    key: str
    seed: int
    outcomes: list[Outcome] = field(default_factory=list)

    def run(self, arrivals: Iterable[Arrival]) -> list[Outcome]:
        """Send each request when it is due, without waiting for earlier responses."""
        rng = random.Random(f"callers/{self.seed}")
        start_s = time.monotonic()
        tasks = []
        for number, arrival in enumerate(arrivals):
            due_s = start_s + arrival.at_s
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            address = self.addresses[number % len(self.addresses)]
            tag = f"{rng.getrandbits(48):x}"
            outcome = Outcome(arrival)
            self.outcomes.append(outcome)
            tasks.append(gevent.spawn(self._send, outcome, address, tag, due_s))
        gevent.joinall(tasks, timeout=TIMEOUT_S)
        return self.outcomes

    def _send(self, outcome: Outcome, address: str, tag: str, due_s: float) -> None:
        arrival = outcome.arrival
        prompt = " ".join([tag, *["word"] * (arrival.prompt_tokens - 1)])
        body = {
            "model": self.model,
            "prompt": prompt,
            "max_tokens": arrival.output_tokens,
            "stream": True,
        }
        content = json.dumps(body).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
            f"Authorization: Bearer {arrival.key or self.key}\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        host, _, port = address.rpartition(":")
        outcome.lag_s = time.monotonic() - due_s
        try:
            with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall(head.encode() + content)
                self._read(connection, outcome, due_s, prompt)
        except OSError:
            outcome.wrong = True

    def _read(
        self,
        connection: socket.socket,
        outcome: Outcome,
        due_s: float,
        prompt: str,
    ) -> None:
        reader = _AnswerReader(outcome, due_s)
        while not reader.done:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                break
            reader.feed(data, time.monotonic())
        if outcome.status == 200:
            expected = expected_text(prompt, outcome.arrival.output_tokens)
            outcome.complete = reader.done and reader.text == expected
            outcome.wrong = not outcome.complete


class _AnswerReader:
    """Parse the status, headers and server-sent events of one response."""

    def __init__(self, outcome: Outcome, due_s: float) -> None:
        self._outcome = outcome
        self._due_s = due_s
        self._rest = b""
        self._in_head = True
        self._event_s = 0.0
        self.text = ""
        self.done = False

    def feed(self, data: bytes, now_s: float) -> None:
        """Parse bytes received at ``now_s``."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            line = line.strip()
            if self._in_head:
                self._head_line(line, now_s)
            elif line == b"data: [DONE]":
                self.done = True
            elif line.startswith(b"data: "):
                self._event(json.loads(line[6:]), now_s)

    def _head_line(self, line: bytes, now_s: float) -> None:
        outcome = self._outcome
        if line.startswith(b"HTTP/1.1 "):
            outcome.status = int(line.split()[1])
        elif line.lower().startswith(b"retry-after:"):
            outcome.retry_after_s = float(line.split(b":")[1])
        elif not line:
            self._in_head = False
            if outcome.status != 200:
                outcome.last_s = now_s - self._due_s
                self.done = True

    def _event(self, event: dict, now_s: float) -> None:
        choices = event.get("choices") or [{}]
        text = choices[0].get("text") or ""
        if not text:
            return
        outcome = self._outcome
        outcome.last_s = now_s - self._due_s
        if outcome.first_s is None:
            outcome.first_s = outcome.last_s
        else:
            # An event holds several tokens, and the inter-token deadline is per token.
            allowed_s = INTER_TOKEN_S * len(text.split())
            outcome.slow_gaps += now_s - self._event_s > allowed_s
        self._event_s = now_s
        self.text += text
