"""Callers and node processes for tests against a deployment."""

import json
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import urllib3
from urllib3.exceptions import HTTPError

from persimmonyoke_testing.firms import Firm

CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 20.0
POLL_S = 0.05


def new_pool() -> urllib3.PoolManager:
    """Return a client without automatic retries."""
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
    return urllib3.PoolManager(retries=False, timeout=timeout)


class CallerStream:
    """Read a streamed completion event by event, as a caller does."""

    def __init__(
        self,
        url: str,
        firm: Firm,
        *,
        prompt: str,
        max_tokens: int,
        last_event_id: str | None = None,
    ) -> None:
        headers = {
            "Authorization": f"Bearer {firm.workspace_key}",
            "Content-Type": "application/json",
        }
        if last_event_id is not None:
            headers["Last-Event-ID"] = last_event_id
        body = {
            "model": firm.model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.last_event_id = last_event_id
        self.text = ""
        self.finished = False
        self._answer = new_pool().request(
            "POST",
            f"{url}/v1/completions",
            body=json.dumps(body).encode(),
            headers=headers,
            preload_content=False,
        )
        self.status = self._answer.status
        self._lines = self._read_lines()

    def read(self, events: int | None = None) -> str:
        """Read some events, or all remaining ones; return the text so far."""
        received = 0
        for line in self._lines:
            if line.startswith("id: "):
                pending_id = line.removeprefix("id: ")
            elif line == "data: [DONE]":
                self.finished = True
                break
            elif line.startswith("data: "):
                text = _event_text(line.removeprefix("data: "))
                self.text += text
                if text:
                    self.last_event_id = pending_id
                    received += 1
                if received == events:
                    break
        return self.text

    def read_error(self) -> str:
        """Return the body of an answer that is not a stream."""
        return self._answer.read().decode()

    def close(self) -> None:
        """Disconnect."""
        self._answer.close()

    def _read_lines(self) -> Iterator[str]:
        rest = b""
        try:
            for part in self._answer.stream(1024, decode_content=False):
                *lines, rest = (rest + part).split(b"\n")
                yield from (line.decode() for line in lines)
        except (HTTPError, OSError):
            # The host was killed; the caller resumes at another one.
            return


def _event_text(data: str) -> str:
    choices = json.loads(data).get("choices", ())
    return "".join(choice.get("text") or "" for choice in choices)


@dataclass(frozen=True)
class CallAnswer:
    """Hold the answer of one call."""

    status: int
    headers: Any
    body: bytes

    @property
    def json(self) -> Any:
        """Return the parsed body."""
        return json.loads(self.body)


def call(
    method: str,
    url: str,
    *,
    key: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> CallAnswer:
    """Make one call with a bearer key."""
    answer = new_pool().request(
        method,
        url,
        body=None if body is None else json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
    )
    return CallAnswer(answer.status, answer.headers, answer.data)


def call_service(url: str, firm: Firm, *, key: str, body: Any) -> CallAnswer:
    """Make one call of the firm's service that must run at most once."""
    return call(
        "POST",
        f"{url}/services/{firm.service_pool}/calls",
        key=firm.workspace_key,
        body=body,
        headers={"Idempotency-Key": key, "Content-Type": "application/json"},
    )


class NodeProcess:
    """Run ``persimmonyoke-node`` as a process of its own."""

    def __init__(
        self, role: str, settings: Path, *, descriptors: int | None = None
    ) -> None:
        self._descriptors = descriptors
        command = [sys.executable, "-m", "persimmonyoke_node", role, str(settings)]
        self._name = settings.stem
        self.log_path = settings.with_suffix(".log")
        with self.log_path.open("ab") as log_file:
            # Earlier processes of the same host wrote to the same file.
            self._log_start = log_file.tell()
            self._process = subprocess.Popen(
                command, stderr=log_file, preexec_fn=self._limit_descriptors
            )

    def _limit_descriptors(self) -> None:
        """Limit the descriptors of the node alone; runs in its process."""
        if self._descriptors is not None:
            limits = (self._descriptors, self._descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait for the exit; return the status, negative for a signal."""
        return self._process.wait(timeout_s)

    def end(self) -> None:
        """Kill the process if it is still running."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait(EXIT_TIMEOUT_S)

    def started_controller(self) -> bool:
        """Return whether this process has logged the start of its controller."""
        own_lines = self.log_path.read_bytes()[self._log_start :]
        return f"{self._name} started".encode() in own_lines

    def log(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(encoding="utf-8")


def wait_healthy(urls: Iterable[str], *, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until each host reports that it is healthy; raise ``TimeoutError``."""
    end_s = time.monotonic() + timeout_s
    for url in urls:
        while not _is_healthy(url):
            if time.monotonic() > end_s:
                raise TimeoutError(f"{url} is not healthy after {timeout_s:g} s")
            gevent.sleep(POLL_S)


def _is_healthy(url: str) -> bool:
    try:
        return new_pool().request("GET", f"{url}/health").status == 200
    except (HTTPError, OSError):
        return False


@contextmanager
def paused(process: NodeProcess) -> Iterator[None]:
    """Pause a process with SIGSTOP and resume it afterwards."""
    process.send(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send(signal.SIGCONT)
