"""A small HTTP/1.1 server for the stand-ins of the store and of replicas."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_LINE_BYTES = 65_536
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass
class Request:
    """Represent one request that was read in full."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query of the target."""
        return self.target.partition("?")[2]


@dataclass
class Response:
    """Represent an answer with a complete body."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class NoAnswer(Exception):
    """Signal that a request gets no answer and its connection stays open."""


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[Response | None]]
"""Returns an answer, or ``None`` if it has written one itself."""


class Listener:
    """Serve requests on one address; connections are kept open."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_LINE_BYTES
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            try:
                response = await self._handle(request, writer)
            except NoAnswer:
                await asyncio.Event().wait()
                return
            if response is not None:
                writer.write(encode(response))
                await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or ``None`` at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = await read_headers(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return Request(method, target, headers, body)


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read header lines up to the blank one."""
    headers = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await read_headers(reader)
    return b"".join(parts)


def encode(response: Response) -> bytes:
    """Encode an answer with its length."""
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + response.body
