"""JSON calls over HTTP whose errors tell whether the request may have been sent."""

import json
from collections.abc import Mapping
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
)

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.platform.response_heads import CHECKED_CONNECTIONS

CONNECT_TIMEOUT_S = 1.0
POOL_CONNECTIONS = 16
HEADERS = {"Content-Type": "application/json"}
OK = 200
NOT_MODIFIED = 304


class HttpFailure(Exception):
    """Report a call without a usable answer.

    ``sent`` is false only if no byte of the request was written. ``status`` is the HTTP
    status of an error answer, else 0.
    """

    def __init__(self, reason: str, *, sent: bool, status: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.status = status


class Connections:
    """Hold the connection pool for one service; it never retries a request.

    Connections can stall permanently while new ones work. After a call without an
    answer, all idle connections are discarded, since they may have stalled together
    and trying them one after the other could take longer than a lease.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self.pool = self._new_pool()

    def discard_idle(self, used: urllib3.HTTPConnectionPool) -> None:
        """Replace the pool, unless another call has replaced ``used`` already."""
        if used is self.pool:
            self.pool = self._new_pool()
            used.close()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        pool = urllib3.connection_from_url(
            self._base_url,
            maxsize=POOL_CONNECTIONS,
            block=False,
            retries=False,
            headers=HEADERS,
        )
        pool.ConnectionCls = CHECKED_CONNECTIONS[pool.scheme]
        return pool


def send(
    connections: Connections,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float,
    stream: bool = False,
    etag: str = "",
) -> urllib3.BaseHTTPResponse:
    """Send one request; raise ``HttpFailure`` unless the status is 200.

    With an entity tag, the request is conditional and status 304 is accepted too.
    """
    timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
    encoded = None if body is None else json.dumps(body).encode()
    pool = connections.pool
    try:
        response = pool.urlopen(
            method,
            path,
            body=encoded,
            timeout=timeout,
            headers={**HEADERS, "If-None-Match": etag} if etag else None,
            retries=False,
            redirect=False,
            preload_content=not stream,
        )
    except (NewConnectionError, ConnectTimeoutError, EmptyPoolError) as error:
        raise HttpFailure(f"not connected: {error}", sent=False) from error
    except (HTTPError, OSError) as error:
        connections.discard_idle(pool)
        raise HttpFailure(f"no answer: {error}", sent=True) from error
    if response.status != OK and not (etag and response.status == NOT_MODIFIED):
        reason = f"status {response.status}: {_error_text(response, stream)}"
        raise HttpFailure(reason, sent=True, status=response.status)
    return response


def call_json(
    connections: Connections,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float,
) -> Mapping[str, Any]:
    """Send one request and return the JSON object of its answer.

    Raises ``HttpFailure``, also if the answer is not a JSON object.
    """
    response = send(connections, method, path, body, timeout_s=timeout_s)
    try:
        return parse_object(response.data)
    except ProtocolError as error:
        raise HttpFailure(f"invalid answer: {error}", sent=True) from error


def parse_object(raw: bytes) -> Mapping[str, Any]:
    """Return a JSON object; raise ``ProtocolError`` otherwise."""
    try:
        parsed = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"not JSON: {error}") from error
    if not isinstance(parsed, dict):
        raise ProtocolError("not a JSON object")
    return parsed


def _error_text(response: urllib3.BaseHTTPResponse, stream: bool) -> str:
    if stream:
        response.close()
        return "no stream"
    return response.data[:200].decode("utf-8", "replace")
