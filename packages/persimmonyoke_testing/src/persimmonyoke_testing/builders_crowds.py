"""One entry process of limited descriptors, its platform and crowds of clients."""

import time
import tomllib
from pathlib import Path
from tempfile import TemporaryDirectory

import gevent
from urllib3.exceptions import HTTPError

from persimmonyoke_testing.builders_deployment import NodeProcess, call, wait_healthy
from persimmonyoke_testing.crowd import Crowd, Parts
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.deployment_settings import write_values
from persimmonyoke_testing.process_stats import open_descriptors, peak_memory_bytes

BYTES_PER_MB = 1_048_576
BODY_BYTES = 2 * BYTES_PER_MB
ANSWER_LIMIT_S = 40.0
"""Time after which a host that answers no ordinary request counts as hung.

It is longer than the times to receive a request and to send an answer.
"""


class CrowdHost:
    """Run one entry process with the default limits, apart from ``body_bytes``."""

    def __init__(self, *, descriptors: int) -> None:
        self._folder = TemporaryDirectory()
        self._deployment = Deployment("kereru", nodes=0, controllers=0)
        self._deployment.start()
        self._firm = self._deployment.firm
        (path,), _ = self._deployment.write_settings(
            Path(self._folder.name), entries=1, controllers=0
        )
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        values["limits"] = {"body_bytes": BODY_BYTES}
        write_values(path, values, title="Entry host")
        self._listen = values["listen"]
        self._crowds: list[Crowd] = []
        self.process = NodeProcess("entry", path, descriptors=descriptors)
        wait_healthy([f"http://{self._listen['callers']}"])

    def stop(self) -> None:
        """Close the crowds and end the process and its platform."""
        for crowd in self._crowds:
            crowd.leave()
        self.process.end()
        self._deployment.stop()
        self._folder.cleanup()

    def crowd(
        self, port_name: str, size: int, parts: Parts, *, returns: bool = False
    ) -> Crowd:
        """Let a crowd connect to the port for ``callers`` or ``operators``."""
        port = int(self._listen[port_name].rpartition(":")[2])
        crowd = Crowd(port, size, parts, returns=returns)
        self._crowds.append(crowd)
        return crowd

    def answers_caller(self) -> bool:
        """Return whether a caller that tries again after a failure is served."""
        body = {"model": self._firm.model, "prompt": "ordinary", "max_tokens": 2}
        url = f"http://{self._listen['callers']}/v1/completions"
        return self._answers("POST", url, self._firm.workspace_key, body)

    def answers_operator(self) -> bool:
        """Return whether an operator who tries again after a failure is served."""
        url = f"http://{self._listen['operators']}/operators/status"
        return self._answers("GET", url, self._firm.operator_token, None)

    def _answers(self, method: str, url: str, key: str, body: dict | None) -> bool:
        end_s = time.monotonic() + ANSWER_LIMIT_S
        while time.monotonic() < end_s and self.process.running:
            try:
                if call(method, url, key=key, body=body).status == 200:
                    return True
            except (HTTPError, OSError):
                # Refused or without an answer; the client tries again.
                pass
            gevent.sleep(0.1)
        return False

    @property
    def peak_mb(self) -> float:
        """Return the most memory that the process has had."""
        return peak_memory_bytes(self.process.pid) / BYTES_PER_MB

    @property
    def open_descriptors(self) -> int:
        """Return the open descriptors of the process."""
        return open_descriptors(self.process.pid)
