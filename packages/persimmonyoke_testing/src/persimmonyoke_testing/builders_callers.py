"""Builders of caller servers on fakes, and raw HTTP requests to them."""

import hashlib
import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from persimmonyoke.errors import RequestError
from persimmonyoke.internal.callers.api import (
    AdmissionRequest,
    CallerLimits,
    CallerServices,
)
from persimmonyoke.internal.callers.server import CallerServer
from persimmonyoke.internal.delivery.delivery import Delivery
from persimmonyoke.internal.delivery.stream_token import StreamTokenSigner
from persimmonyoke.internal.presets.model import (
    ModelSpec,
    PoolKind,
    PoolPolicy,
    Preset,
    ServicePolicy,
    WorkspacePolicy,
)
from persimmonyoke_testing.builders_delivery import (
    FakeEngine,
    FakeFleet,
    FakeGate,
    FakeServices,
    build_delivery,
)

KEY = "key-of-workspace-a"
OTHER_KEY = "key-of-workspace-b"
SIGNING_KEY = b"signing-key-of-the-firm"
FAST_LIMITS = CallerLimits(
    body_bytes=20_000,
    header_bytes=2_000,
    receive_s=0.3,
    keep_alive_s=5.0,
    send_s=2.0,
    max_connections=20,
)


def build_preset() -> Preset:
    """Return a preset with one engine pool, one service and two workspaces."""
    model = ModelSpec("desk-lm", "1", adapters=("faults",))
    return Preset(
        name="ordinary",
        pools={
            "llm-pool": PoolPolicy("llm-pool", PoolKind.ENGINE, models=(model,)),
            "registry": PoolPolicy("registry", PoolKind.SERVICE),
        },
        services={"registry": ServicePolicy("registry")},
        workspaces={
            name: WorkspacePolicy(name, (hashlib.sha256(key.encode()).hexdigest(),))
            for name, key in (("a", KEY), ("b", OTHER_KEY))
        },
    )


@dataclass
class StaticConfiguration:
    """Provide a preset that a test can replace."""

    preset: Preset | None = field(default_factory=build_preset)


@dataclass
class FakeAdmissionGate:
    """Admit each request or raise a given error; record the released tokens."""

    error: RequestError | None = None
    admitted: list[AdmissionRequest] = field(default_factory=list)
    released_tokens: list[int] = field(default_factory=list)

    def admit(self, request: AdmissionRequest) -> "FakeAdmissionGate":
        if self.error is not None:
            raise self.error
        self.admitted.append(request)
        return self

    def release(self, *, output_tokens: int) -> None:
        self.released_tokens.append(output_tokens)


@dataclass(frozen=True)
class StaticAddresses:
    """Hold the addresses that a test server returns."""

    addresses: tuple[str, ...] = ("127.0.0.1:1", "127.0.0.1:2")
    max_age_s: float = 5.0


@dataclass
class CallerHost:
    """Hold a running caller server and the fakes behind it."""

    server: CallerServer
    fleet: FakeFleet
    delivery: Delivery
    services: FakeServices
    service_gate: FakeGate
    gate: FakeAdmissionGate
    configuration: StaticConfiguration

    @property
    def base_url(self) -> str:
        """Return the URL for clients of the OpenAI API."""
        host, port = self.server.address
        return f"http://{host}:{port}/v1"


def start_host(
    *,
    fleet: FakeFleet | None = None,
    limits: CallerLimits = FAST_LIMITS,
    **delivery_options: object,
) -> CallerHost:
    """Start a caller server on a free port of the loopback interface."""
    fleet = fleet or FakeFleet([FakeEngine(f"e{number}") for number in range(3)])
    services, service_gate = FakeServices("s1", "s2"), FakeGate()
    delivery = build_delivery(
        fleet, services=services, gate=service_gate, **delivery_options
    )
    gate, configuration = FakeAdmissionGate(), StaticConfiguration()
    caller_services = CallerServices(
        configuration=configuration,
        admission=gate,
        delivery=delivery,
        addresses=lambda zone: StaticAddresses(),
        render_metrics=lambda: ("text/plain; version=0.0.4", b"requests 1\n"),
        tokens=StreamTokenSigner(SIGNING_KEY),
    )
    server = CallerServer(("127.0.0.1", 0), caller_services, limits=limits)
    server.start()
    return CallerHost(
        server, fleet, delivery, services, service_gate, gate, configuration
    )


@dataclass
class RawAnswer:
    """Hold a parsed HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict:
        """Return the error object of an error answer."""
        return json.loads(self.body)["error"]


def build_request_bytes(
    method: str,
    path: str,
    *,
    body: bytes | dict | None = None,
    key: str | None = KEY,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return an HTTP request with ``Connection: close``."""
    content = json.dumps(body).encode() if isinstance(body, dict) else body or b""
    fields = {"Host": "test", "Connection": "close"}
    if key is not None:
        fields["Authorization"] = f"Bearer {key}"
    if content:
        fields["Content-Length"] = str(len(content))
    fields.update(headers or {})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + content


@contextmanager
def open_connection(host: CallerHost, data: bytes = b"") -> Iterator[socket.socket]:
    """Connect to the host and send the data."""
    with socket.create_connection(host.server.address, timeout=10) as connection:
        connection.sendall(data)
        yield connection


def read_answer(connection: socket.socket) -> RawAnswer:
    """Read an answer until the server closes the connection."""
    data = b""
    while part := connection.recv(65_536):
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    if headers.get("Transfer-Encoding") == "chunked":
        body = _join_chunks(body)
    return RawAnswer(int(status_line.split()[1]), headers, body)


def send(host: CallerHost, method: str, path: str, **options: object) -> RawAnswer:
    """Send one request on a new connection and return the answer."""
    request = build_request_bytes(method, path, **options)
    with open_connection(host, request) as connection:
        return read_answer(connection)


def _join_chunks(data: bytes) -> bytes:
    joined = b""
    while data:
        size_text, _, data = data.partition(b"\r\n")
        size = int(size_text, 16)
        joined += data[:size]
        data = data[size + 2 :]
    return joined


@dataclass(frozen=True)
class ServerSentEvent:
    """Hold the id and the data of one server-sent event."""

    id: str | None
    data: str


def parse_events(body: bytes) -> list[ServerSentEvent]:
    """Return the server-sent events of a stream."""
    events = []
    for block in body.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines() if line)
        if "data" in fields:
            events.append(ServerSentEvent(fields.get("id"), fields["data"]))
    return events


def stream_text(events: list[ServerSentEvent]) -> str:
    """Return the text in the chunks of a stream."""
    text = ""
    for event in events:
        if event.data == "[DONE]":
            continue
        for choice in json.loads(event.data).get("choices", ()):
            text += choice.get("text") or choice.get("delta", {}).get("content") or ""
    return text
