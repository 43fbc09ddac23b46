"""Error answers in the format of the OpenAI API."""

import math
import random
from http import HTTPStatus

import orjson

from persimmonyoke.errors import RequestError

RETRY_JITTER_SHARE = 0.25
# 499 is the usual status for a caller that closed the connection; it has no name in
# the standard library.
CLIENT_CLOSED_REQUEST = 499


def status_line(status: int) -> str:
    """Return the status with its reason phrase."""
    if status == CLIENT_CLOSED_REQUEST:
        return "499 Client Closed Request"
    return f"{status} {HTTPStatus(status).phrase}"


def retry_after_with_jitter(retry_after_s: float) -> float:
    """Add jitter, so that callers refused at the same moment don't retry together."""
    spread_s = retry_after_s * RETRY_JITTER_SHARE * random.random()
    return round(retry_after_s + spread_s, 3)


def error_object(
    error: RequestError, request_id: str, retry_after_s: float | None
) -> dict:
    """Return the body of an error answer."""
    content = {
        "message": error.message,
        "type": error.answer.openai_type,
        "param": error.param,
        "code": error.kind.value,
        "ran": error.ran.value,
        "request_id": request_id,
    }
    if retry_after_s is not None:
        content["retry_after_s"] = retry_after_s
    return {"error": content}


def error_body(
    error: RequestError, request_id: str
) -> tuple[bytes, list[tuple[str, str]]]:
    """Return the JSON body and the headers of an error answer."""
    retry_after_s = None
    # OpenAI clients retry 408, 409, 429 and all 5xx unless X-Should-Retry is "false".
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", request_id),
        ("X-Should-Retry", "true" if error.answer.retryable else "false"),
    ]
    if error.retry_after_s is not None:
        retry_after_s = retry_after_with_jitter(error.retry_after_s)
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_s)))))
    content = error_object(error, request_id, retry_after_s)
    body = orjson.dumps(content)
    headers.append(("Content-Length", str(len(body))))
    return body, headers


def raw_response(error: RequestError, request_id: str) -> bytes:
    """Return a complete HTTP response for an error raised before the app runs."""
    body, headers = error_body(error, request_id)
    lines = [f"HTTP/1.1 {status_line(error.answer.status)}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
