"""Make HTTP calls to the store with short deadlines over few connections."""

import time
from collections import Counter

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import RawCall
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connection_pool import ConnectionPool
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    CompleteResponse,
    NotConnected,
)

HEADERS = ((b"Host", b"store"), (b"Content-Type", b"application/json"))


class JsonClient:
    """Call one service; connections that lost a response are not reused."""

    def __init__(self, host: str, port: int) -> None:
        self._pool = ConnectionPool()
        self._peer = Replica(
            replica_id="store",
            service="store",
            host=host,
            port=port,
            availability_zone="",
            slots=0,
            draining=False,
            stage=None,
            born_unix_ms=0,
            software_version="",
        )
        self.calls: Counter[str] = Counter()

    def call(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> CompleteResponse:
        """Return the response; raise ``StoreUnavailable`` without one."""
        deadline_s = time.monotonic() + timeout_s
        self.calls[target.split("?")[0].split("/")[1]] += 1
        raw = RawCall(method.encode(), target.encode(), HEADERS, body or b"")
        try:
            connection = self._pool.take(
                self._peer, timeout_s=timeout_s, now_s=time.monotonic()
            )
        except NotConnected as error:
            raise StoreUnavailable(str(error)) from error
        try:
            connection.send(raw, timeout_s=deadline_s - time.monotonic())
            head = connection.read_head(timeout_s=deadline_s - time.monotonic())
            response_body = connection.read_body(
                timeout_s=deadline_s - time.monotonic()
            )
        except AnswerLost as error:
            connection.close()
            # Pooled connections may have stopped responding together, so none is kept.
            self._pool.drop_replica(self._peer)
            raise StoreUnavailable(f"{method} {target[:60]}: {error}") from error
        except BaseException:
            connection.close()
            raise
        connection.mark_response_complete(head, now_s=time.monotonic())
        self._pool.put(connection)
        return CompleteResponse(head, response_body)
