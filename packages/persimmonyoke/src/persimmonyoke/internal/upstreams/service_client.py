"""HTTP client for plain services."""

import re
from collections.abc import Mapping
from http.client import HTTPException, HTTPMessage
from urllib.parse import quote

from gevent import Timeout
from urllib3.exceptions import HTTPError

from persimmonyoke.internal.upstreams.api import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
    ServiceNotSent,
    ServiceOutcome,
    ServiceOutcomeUnknown,
)
from persimmonyoke.internal.upstreams.connections import (
    ConnectionPool,
    UpstreamConnection,
)

NETWORK_ERRORS = (OSError, HTTPException, HTTPError)
NOT_RUN_HEADER = "x-not-run"
OUTCOME_STATUS_HEADER = "x-outcome-status"
OUTCOME_TIMEOUT_S = 5.0
NOT_RUN_STATUS = 503
FINAL_STATUS = re.compile("[2-5][0-9]{2}")
# Headers that apply to a single connection or message and must not be forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class HttpServiceClient(ServiceClient):
    """Call one replica of a plain service."""

    def __init__(self, address: str, *, connect_timeout_s: float = 1.0) -> None:
        if connect_timeout_s <= 0:
            raise ValueError(
                f"connect_timeout_s must be positive, got {connect_timeout_s}"
            )
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self._pool = ConnectionPool(address)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.purge()

    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceOutcome:
        """Send one call and return its outcome; never raises for network faults."""
        if timeout_s <= 0:
            return ServiceNotSent("no time is left")
        # A replica may close an idle connection while the call is being written, which
        # leaves the outcome unknown. An at-most-once call could then not be retried, so
        # it gets a new connection.
        fresh = call.idempotency_key is not None
        connection = self._pool.acquire(fresh=fresh)
        headers = self._request_headers(call)
        try:
            with Timeout(timeout_s, TimeoutError("call timed out")):
                answer = self._exchange(
                    connection, call.method, call.path, call.body, headers
                )
        except NETWORK_ERRORS as error:
            reason = f"{call.method} {call.path} at {self.address}: {error!r}"
            if isinstance(error, TimeoutError):
                self._pool.purge()
            if connection.written:
                return ServiceOutcomeUnknown(reason)
            return ServiceNotSent(reason)
        if is_marked_not_run(answer):
            return ServiceNotSent(
                f"{self.address} rejected the call without running it"
            )
        return answer

    def outcome(self, idempotency_key: str) -> ServiceAnswer | None:
        """Return the stored answer of an earlier call, or ``None`` if there is none.

        Raises ``ConnectionError`` if the replica can't be reached, or if the call is
        still running.
        """
        connection = self._pool.acquire()
        path = f"/outcomes/{quote(idempotency_key, safe='')}"
        try:
            with Timeout(OUTCOME_TIMEOUT_S, TimeoutError("look-up timed out")):
                answer = self._exchange(connection, "GET", path, b"", {})
        except NETWORK_ERRORS as error:
            raise ConnectionError(f"GET {path} at {self.address}: {error!r}") from error
        if answer.status == 404:
            return None
        status = answer.headers.get(OUTCOME_STATUS_HEADER, "")
        if answer.status != 200 or not FINAL_STATUS.fullmatch(status):
            raise ConnectionError(f"GET {path} at {self.address}: {answer.status}")
        headers = dict(answer.headers)
        del headers[OUTCOME_STATUS_HEADER]
        return ServiceAnswer(int(status), headers, answer.body)

    def _exchange(
        self,
        connection: UpstreamConnection,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> ServiceAnswer:
        complete = False
        try:
            timeout_s = self.connect_timeout_s
            sent_body = body or None
            connection.start(method, path, sent_body, headers, timeout_s=timeout_s)
            # The caller's gevent timeout bounds the whole call.
            connection.timeout = None
            response = connection.read_head()
            data = connection.read_body(response)
            complete = not response.will_close
        finally:
            if complete:
                self._pool.release(connection)
            else:
                connection.close()
        return ServiceAnswer(response.status, answer_headers(response.headers), data)

    @staticmethod
    def _request_headers(call: ServiceCall) -> dict[str, str]:
        headers = {
            name: value
            for name, value in call.headers.items()
            if name.lower()
            not in HOP_BY_HOP_HEADERS | {"idempotency-key", "x-request-id"}
        }
        headers["X-Request-Id"] = call.request_id
        if call.idempotency_key is not None:
            headers["Idempotency-Key"] = call.idempotency_key
        return headers


def answer_headers(message: HTTPMessage) -> dict[str, str]:
    """Return the headers to forward, with lower-case names and repeated ones joined."""
    headers: dict[str, str] = {}
    for name, value in message.items():
        key = name.lower()
        if key in HOP_BY_HOP_HEADERS:
            continue
        headers[key] = f"{headers[key]}, {value}" if key in headers else value
    return headers


def is_marked_not_run(answer: ServiceAnswer) -> bool:
    """Return whether the replica reports that it did not run the call."""
    marked = answer.headers.get(NOT_RUN_HEADER, "").lower() == "true"
    return marked and answer.status == NOT_RUN_STATUS
