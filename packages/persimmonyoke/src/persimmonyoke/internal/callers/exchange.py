"""State of one HTTP exchange: request id, request body and response."""

from collections.abc import Callable, Sequence

import gevent
from loguru import logger

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.callers.api import CallerLimits
from persimmonyoke.internal.callers.error_answers import error_body, status_line
from persimmonyoke.internal.callers.held_bodies import HeldBodies
from persimmonyoke.internal.delivery.api import CallerGone

ENVIRON_KEY = "persimmonyoke.exchange"
BODY_KEY = "persimmonyoke.body"
Headers = Sequence[tuple[str, str]]


class ReceiveTimedOut(gevent.Timeout):
    """Report that a request was not received within its deadline."""


class Exchange:
    """Send exactly one response to a request, buffered or streamed.

    The ``start_response`` argument is the server's callable. The method of the same
    name, which bottle gets, ignores a second call, so that a handler can start and
    write a stream itself.
    """

    def __init__(
        self,
        environ: dict,
        start_response: Callable,
        *,
        request_id: str,
        bodies: HeldBodies,
        is_draining: Callable[[], bool],
    ) -> None:
        self._held_body = bodies.open()
        self.environ = environ
        self.request_id = request_id
        self.started = False
        self._start_response = start_response
        self._is_draining = is_draining
        self._input_abandoned = False
        self._write: Callable[[bytes], None] | None = None
        self._send_part: Callable[[bytes], None] = environ["persimmonyoke.send_part"]

    def header(self, name: str) -> str | None:
        """Return a request header."""
        if name == "Content-Type":
            return self.environ.get("CONTENT_TYPE")
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"))

    def read_body(self, limits: CallerLimits) -> bytes:
        """Read the body; discards the rest of it and raises ``RequestError``."""
        receiving = self.environ["persimmonyoke.receiving"]
        try:
            body = self._read(limits.body_bytes)
        except RequestError:
            self._abandon_input()
            raise
        except ReceiveTimedOut as timeout:
            if timeout is not receiving:
                raise
            self._abandon_input()
            raise RequestError(
                ErrorKind.REQUEST_TIMEOUT,
                f"the request was not received within {limits.receive_s} s",
            ) from None
        except OSError as error:
            self._abandon_input()
            raise RequestError(
                ErrorKind.MALFORMED_BODY, "the body does not follow its framing"
            ) from error
        receiving.close()
        return body

    def _read(self, limit: int) -> bytes:
        declared = int(self.environ.get("CONTENT_LENGTH") or 0)
        chunked = "HTTP_TRANSFER_ENCODING" in self.environ
        held = self._held_body
        if declared <= limit and (declared or chunked):
            self.environ["wsgi.input"].receive_into(held.write, limit + 1)
        if declared > limit or held.size_bytes > limit:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f"the body is longer than {limit} bytes"
            )
        return held.finish()

    def release_body(self) -> None:
        """Free the body; the request has ended or needs it no more."""
        self.environ.pop(BODY_KEY, None)
        self._held_body.close()

    def _abandon_input(self) -> None:
        self._input_abandoned = True
        self.environ["persimmonyoke.abandon_input"]()

    def start_response(
        self, status: str, headers: Headers, exc_info: object = None
    ) -> Callable[[bytes], None]:
        """Start the response, adding the headers that all responses have."""
        if self.started:
            return self._write
        self.started = True
        complete = [*headers]
        if not any(name == "X-Request-Id" for name, _ in complete):
            complete.append(("X-Request-Id", self.request_id))
        if self._input_abandoned or self._is_draining():
            complete.append(("Connection", "close"))
        self._write = self._start_response(status, complete)
        return self._write

    def start_stream(self) -> None:
        """Start a stream of server-sent events."""
        self.start_response(
            "200 OK",
            [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")],
        )

    def write(self, data: bytes) -> None:
        """Write a part of a started response; raises ``CallerGone``."""
        try:
            self._send_part(data)
        except OSError:
            raise CallerGone from None

    def fail(self, error: RequestError) -> list[bytes]:
        """Send an error answer; the response must not have started yet."""
        logger.info(
            "[callers] request {}: refused with {} ({}): {}",
            self.request_id,
            error.kind.value,
            error.ran.value,
            error.message,
        )
        body, headers = error_body(error, self.request_id)
        self.start_response(status_line(error.answer.status), headers)
        return [body]
