"""A client of resumable streams, and a link to a host that can be reset."""

import asyncio
from dataclasses import dataclass, field

from http11 import read_headers


@dataclass
class Answer:
    """Hold what a client has received of one attempt."""

    status: int = 0
    events: list[tuple[int, str]] = field(default_factory=list)
    complete: bool = False

    @property
    def last_id(self) -> int:
        """Return the id of the last event, or 0."""
        return self.events[-1][0] if self.events else 0


class Link:
    """Pass bytes between clients and one host, until it is reset."""

    def __init__(self, host_port: int) -> None:
        self._host_port = host_port
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all connections on both sides."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._host_port
        )
        self._writers += [writer, far_writer]
        self._tasks += [
            asyncio.create_task(_pass_on(reader, far_writer)),
            asyncio.create_task(_pass_on(far_reader, writer)),
        ]


async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
        writer.close()
    except ConnectionError:
        writer.transport.abort()


async def read_stream(port: int, headers: dict[str, str], answer: Answer) -> None:
    """Send one attempt at a stream and collect its events until it ends."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return
    try:
        lines = ["POST /story/x HTTP/1.1", "Host: shop.example", "Content-Length: 2"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
        answer.status = int((await reader.readline()).split()[1])
        head = await read_headers(reader)
        if "chunked" in head.get("transfer-encoding", ""):
            await _read_events(reader, answer)
    except (ConnectionError, asyncio.IncompleteReadError, IndexError, ValueError):
        # The connection was reset, so the answer is not complete.
        pass
    finally:
        writer.close()


async def _read_events(reader: asyncio.StreamReader, answer: Answer) -> None:
    rest = ""
    while size := int((await reader.readline()).split(b";")[0], 16):
        rest += (await reader.readexactly(size)).decode()
        await reader.readexactly(2)
        *events, rest = rest.split("\n\n")
        for event in events:
            fields = dict(line.split(": ", 1) for line in event.split("\n"))
            answer.events.append((int(fields["id"]), fields["data"]))
    answer.complete = True
