"""Load generation and statistics shared by the routing benchmarks."""

import json
import re
import statistics
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

import gevent
from gevent.pool import Group
from urllib3.exceptions import HTTPError

from persimmonyoke.internal.presets import Accepted, Change, ChangeAction
from persimmonyoke_testing.builders_deployment import new_pool
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import expected_text
from persimmonyoke_testing.firms import Firm

DONE = "[DONE]"

# These benchmarks do not measure admission control, so rate limits must not apply.
RAISED_LIMITS = {
    "requests_per_s = 40.0": "requests_per_s = 100000.0",
    "tokens_per_s = 12000.0": "tokens_per_s = 100000000.0",
}


@dataclass
class CallerCount:
    """Count requests by outcome, with the durations of the complete ones."""

    sent: int = 0
    complete: int = 0
    endings: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)

    @property
    def failed(self) -> int:
        """Return the number of requests without a complete response."""
        return self.sent - self.complete


def raise_limits(
    deployment: Deployment, *, changes: Mapping[str, str] = MappingProxyType({})
) -> None:
    """Raise the rate limits in the base preset and apply further line ``changes``."""
    text = deployment.firm.presets()["base"]
    for old, new in {**RAISED_LIMITS, **changes}.items():
        if old not in text:
            raise ValueError(f"the base preset has no line {old!r}")
        text = text.replace(old, new)
    change = Change(ChangeAction.EDIT, "base", "bench", "limits of the bench", text)
    outcome = deployment.platform.revisions().propose(change, base_number=1)
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f"preset change with raised limits rejected: {outcome}")
    deployment.wait_until(lambda: all(n.view.number >= 2 for n in deployment.entries))


def run_stream(
    deployment: Deployment, host: int, prompt: str, tokens: int, count: CallerCount
) -> None:
    """Send a streaming request, read the response and verify its text."""
    url = deployment.entries[host].callers_url
    begin_s = time.monotonic()
    count.sent += 1
    try:
        text, ending = _read_stream(url, deployment.firm, prompt, tokens)
    except (HTTPError, OSError) as error:
        count.endings[type(error).__name__] += 1
        return
    if ending == DONE and text == expected_text(prompt, tokens):
        count.complete += 1
        count.seconds.append(time.monotonic() - begin_s)
        ending = "complete"
    elif ending == DONE:
        ending = "wrong text"
    count.endings[ending] += 1


def _read_stream(url: str, firm: Firm, prompt: str, tokens: int) -> tuple[str, str]:
    """Return the text and the ending: ``DONE``, ``cut off`` or an error."""
    body = {
        "model": firm.model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }
    answer = new_pool().request(
        "POST",
        f"{url}/v1/completions",
        body=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {firm.workspace_key}",
            "Content-Type": "application/json",
        },
        preload_content=False,
    )
    if answer.status != 200:
        error = json.loads(answer.data)["error"]
        return "", f"{error['code']}: {_without_numbers(error['message'])}"
    text = ""
    for line in answer.read().decode().splitlines():
        data = line.removeprefix("data: ")
        if data == DONE:
            return text, DONE
        if data == line:
            continue
        event = json.loads(data)
        if "error" in event:
            error = event["error"]
            return text, f"{error['code']}: {_without_numbers(error['message'])}"
        for choice in event.get("choices", ()):
            text += choice.get("text") or ""
    return text, "cut off"


def _without_numbers(message: str) -> str:
    return re.sub(r"\d+", "#", message)


def paced_arrivals(rng, rate_per_s: float, duration_s: float) -> Iterator[int]:
    """Yield request numbers, sleeping until each Poisson arrival time."""
    due_s = begin_s = time.monotonic()
    number = 0
    while True:
        due_s += rng.expovariate(rate_per_s)
        if due_s - begin_s > duration_s:
            return
        gevent.sleep(max(0.0, due_s - time.monotonic()))
        yield number
        number += 1


def join(tasks: Group, timeout_s: float) -> None:
    """Wait for tasks and raise ``TimeoutError`` if some do not finish in time."""
    if not tasks.join(timeout=timeout_s):
        raise TimeoutError(f"{len(tasks)} tasks still running after {timeout_s:g} s")


def mean_and_range(name: str, values: Sequence[float]) -> Mapping[str, float]:
    """Return mean, minimum and maximum of the values of all seeds as figures."""
    return {
        name: statistics.fmean(values),
        f"{name}_least": min(values),
        f"{name}_largest": max(values),
    }
