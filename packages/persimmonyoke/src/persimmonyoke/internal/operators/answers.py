"""Error answers of the operator API."""

import json
import random
import uuid
from typing import Any

import bottle

from persimmonyoke.errors import ErrorKind, RequestError

RETRY_JITTER_SHARE = 0.25
KIND_BY_STATUS = {
    404: ErrorKind.UNKNOWN_PATH,
    405: ErrorKind.WRONG_METHOD,
    413: ErrorKind.BODY_TOO_LARGE,
}


class OperatorError(RequestError):
    """Refuse a request of an operator; ``details`` is added to the error body."""

    def __init__(
        self, kind: ErrorKind, message: str, *, details: Any = None, **options: Any
    ) -> None:
        super().__init__(kind, message, **options)
        self.details = details


def new_request_id() -> str:
    """Return a request id for the logs and the answer."""
    return f"op-{uuid.uuid4().hex[:16]}"


def error_body(error: RequestError, request_id: str) -> str:
    """Return the JSON body of an error answer."""
    fields: dict[str, Any] = {
        "message": error.message,
        "type": error.answer.openai_type,
        "param": error.param,
        "code": error.kind.value,
        "ran": error.ran.value,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = error.retry_after_s
    if isinstance(error, OperatorError) and error.details is not None:
        fields["details"] = error.details
    return json.dumps({"error": fields})


def error_response(error: RequestError, request_id: str) -> bottle.HTTPResponse:
    """Return the HTTP answer of an error."""
    headers = {"Content-Type": "application/json"}
    if error.retry_after_s is not None:
        jitter = 1 + random.uniform(0, RETRY_JITTER_SHARE)
        headers["Retry-After"] = str(max(1, round(error.retry_after_s * jitter)))
    return bottle.HTTPResponse(
        body=error_body(error, request_id),
        status=error.answer.status,
        headers=headers,
    )


class JsonErrorApp(bottle.Bottle):
    """Bottle application that also answers routing errors as JSON."""

    def default_error_handler(self, res: bottle.HTTPError) -> str:
        """Return the JSON body for an error raised outside of a handler."""
        kind = KIND_BY_STATUS.get(res.status_code, ErrorKind.INTERNAL)
        request_id = new_request_id()
        bottle.response.content_type = "application/json"
        message = f"{bottle.request.method} {bottle.request.path}: {res.status_line}"
        return error_body(RequestError(kind, message), request_id)
