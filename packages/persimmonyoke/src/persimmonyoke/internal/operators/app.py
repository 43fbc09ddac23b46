"""Routes of the operator API."""

import hashlib
import hmac
import json
import math
from collections.abc import Callable
from typing import Any

import bottle

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.audit import MAX_RECORDS, AuditFilter
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.operators.answers import (
    JsonErrorApp,
    error_response,
    new_request_id,
)
from persimmonyoke.internal.operators.backend import Json, OperatorBackend
from persimmonyoke.internal.presets import Change, ChangeAction

MAX_BODY_BYTES = 1_000_000
MAX_HISTORY = 200
DEFAULT_AUTHOR = "operator"
BEARER = "Bearer "
CHANGE_FIELDS = ("action", "preset", "text", "reason", "author", "base_number")
AUDIT_FIELDS = ("actor", "kind", "subject", "since", "until", "text", "limit")

log = part_logger("operators")


def operators_app(backend: OperatorBackend, *, token_digest: str) -> bottle.Bottle:
    """Return the WSGI application; ``token_digest`` is sha256 in hexadecimal."""
    app = JsonErrorApp()

    def add(method: str, path: str, handler: Callable[..., Json]) -> None:
        app.route(path, method, _with_token_check(handler, token_digest))

    add("GET", "/operators/presets", backend.presets)
    add("GET", "/operators/presets/<name>", backend.preset)
    add("POST", "/operators/changes", lambda: _change(backend))
    add("GET", "/operators/revisions/<number:int>", backend.revision)
    add("GET", "/operators/history", lambda: _history(backend))
    add("GET", "/operators/status", backend.status)
    add("GET", "/operators/audit", lambda: _audit(backend))
    return app


def _with_token_check(
    handler: Callable[..., Json], token_digest: str
) -> Callable[..., Any]:
    """Wrap a handler: check the token first and turn exceptions into answers."""

    def serve(**arguments: str) -> Any:
        request_id = new_request_id()
        try:
            _check_token(token_digest)
            return handler(**arguments)
        except RequestError as error:
            log.bind(request_id=request_id).info("request refused: {}", error.kind)
            return error_response(error, request_id)
        except Exception:
            log.bind(request_id=request_id).exception("request failed")
            failure = RequestError(ErrorKind.INTERNAL, "internal error; see the logs")
            return error_response(failure, request_id)

    return serve


def _check_token(token_digest: str) -> None:
    header = bottle.request.get_header("Authorization", "")
    if not header.startswith(BEARER):
        raise RequestError(
            ErrorKind.MISSING_KEY, "the header Authorization: Bearer TOKEN is missing"
        )
    token = header.removeprefix(BEARER).strip().encode("latin-1", "replace")
    digest = hashlib.sha256(token).hexdigest()
    # Constant-time comparison, so that timing doesn't reveal how much matches.
    if not hmac.compare_digest(digest, token_digest):
        raise RequestError(ErrorKind.WRONG_KEY, "the operator token is wrong")


def _change(backend: OperatorBackend) -> Json:
    body = _json_body()
    unknown = sorted(set(body) - set(CHANGE_FIELDS))
    if unknown:
        accepted = ", ".join(CHANGE_FIELDS)
        message = f"unknown field {unknown[0]!r}; accepted: {accepted}"
        raise RequestError(ErrorKind.UNKNOWN_FIELD, message, param=unknown[0])
    base_number = body.get("base_number")
    if not isinstance(base_number, int) or isinstance(base_number, bool):
        raise _invalid("base_number", base_number, "the number of a revision")
    change = Change(
        action=_action(body.get("action")),
        preset=_text(body, "preset"),
        author=_text(body, "author", DEFAULT_AUTHOR),
        reason=_text(body, "reason"),
        text=_text(body, "text") if body.get("text") is not None else None,
    )
    return backend.change(change, base_number=base_number)


def _history(backend: OperatorBackend) -> Json:
    _check_query(("limit", "write_id"))
    write_id = bottle.request.query.get("write_id")
    return backend.history(_limit(MAX_HISTORY), write_id)


def _audit(backend: OperatorBackend) -> Json:
    _check_query(AUDIT_FIELDS)
    query = bottle.request.query
    chosen = AuditFilter(
        actor=query.get("actor"),
        kind=query.get("kind"),
        subject=query.get("subject"),
        since_unix_s=_time("since"),
        until_unix_s=_time("until"),
        text=query.get("text"),
        limit=_limit(MAX_RECORDS),
    )
    return backend.audit(chosen)


def _json_body() -> Json:
    stream = bottle.request.environ["wsgi.input"]
    if bottle.request.content_length > MAX_BODY_BYTES:
        raise _too_large()
    raw = stream.read(MAX_BODY_BYTES + 1)
    if len(raw) > MAX_BODY_BYTES:
        raise _too_large()
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        message = f"the body is not valid JSON: {error}"
        raise RequestError(ErrorKind.MALFORMED_BODY, message) from error
    if not isinstance(body, dict):
        raise RequestError(ErrorKind.MALFORMED_BODY, "the body is not a JSON object")
    return body


def _too_large() -> RequestError:
    message = f"the body has more than {MAX_BODY_BYTES} bytes"
    return RequestError(ErrorKind.BODY_TOO_LARGE, message)


def _action(raw: Any) -> ChangeAction:
    try:
        return ChangeAction(raw)
    except ValueError as error:
        raise _invalid("action", raw, ", ".join(ChangeAction)) from error


def _text(body: Json, key: str, default: str | None = None) -> str:
    value = body.get(key, default)
    if not isinstance(value, str) or not value:
        raise _invalid(key, value, "a text that is not empty")
    return value


def _check_query(accepted: tuple[str, ...]) -> None:
    for key in bottle.request.query:
        if key not in accepted:
            message = f"unknown query field {key!r}; accepted: {', '.join(accepted)}"
            raise RequestError(ErrorKind.UNKNOWN_FIELD, message, param=key)


def _limit(maximum: int) -> int:
    raw = bottle.request.query.get("limit", "50")
    if not (raw.isascii() and raw.isdigit() and 1 <= int(raw[:9]) <= maximum):
        raise _invalid("limit", raw, f"a whole number from 1 to {maximum}")
    return int(raw[:9])


def _time(key: str) -> float | None:
    raw = bottle.request.query.get(key)
    if raw is None:
        return None
    try:
        value = float(raw)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise _invalid(key, raw, "seconds since 1970")
    return value


def _invalid(key: str, value: Any, accepted: str) -> RequestError:
    message = f"{key} is {value!r:.100}; accepted: {accepted}"
    return RequestError(ErrorKind.INVALID_VALUE, message, param=key)
