"""Bottle application for callers."""

import re
import secrets
import traceback
from collections import Counter
from collections.abc import Callable, Iterable
from urllib.parse import unquote

import bottle
import orjson
from loguru import logger

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.callers.api import (
    AdmissionRequest,
    CallerLimits,
    CallerServices,
)
from persimmonyoke.internal.callers.authentication import Authenticator
from persimmonyoke.internal.callers.completions import CompletionHandler
from persimmonyoke.internal.callers.exchange import (
    BODY_KEY,
    ENVIRON_KEY,
    Exchange,
)
from persimmonyoke.internal.callers.held_bodies import HeldBodies
from persimmonyoke.internal.callers.parsing import model_ids, unknown_model
from persimmonyoke.internal.delivery.api import CallerGone
from persimmonyoke.internal.delivery.services import ServiceRequest
from persimmonyoke.internal.presets.model import (
    Preset,
    ServicePolicy,
    WorkspacePolicy,
)
from persimmonyoke.internal.upstreams.api import ServiceAnswer, ServiceCall

JSON = "application/json"
NOT_READY_RETRY_S = 1.0
REQUEST_ID_BYTES = 12
MAX_KEY_CHARACTERS = 255
MAX_QUOTED_CHARACTERS = 200
IDEMPOTENCY_HEADER = "Idempotency-Key"
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language", "If-Match")
# Hop-by-hop headers, and headers that this server sets itself.
DROPPED_ANSWER_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
_PRINTABLE = re.compile(r"[!-~]+")
_STATUS_WITHOUT_BODY = frozenset({204, 304})


def new_request_id() -> str:
    """Return a random request id."""
    return secrets.token_hex(REQUEST_ID_BYTES)


class CallerApp:
    """Answer requests of callers; a WSGI application."""

    def __init__(
        self,
        services: CallerServices,
        limits: CallerLimits,
        *,
        is_draining: Callable[[], bool],
    ) -> None:
        self._services = services
        self._limits = limits
        self._is_draining = is_draining
        self._authenticator = Authenticator()
        self._completions = CompletionHandler(services, limits)
        self._bottle = self._build_routes()
        self._bodies = HeldBodies(limits.all_bodies_bytes)
        self.errors: Counter[ErrorKind] = Counter()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one request and turn exceptions into error answers."""
        exchange = Exchange(
            environ,
            start_response,
            request_id=new_request_id(),
            bodies=self._bodies,
            is_draining=self._is_draining,
        )
        environ[ENVIRON_KEY] = exchange
        try:
            environ[BODY_KEY] = exchange.read_body(self._limits)
            return self._bottle.wsgi(environ, exchange.start_response)
        except CallerGone:
            error = RequestError(ErrorKind.CALLER_GONE, "the caller has left")
        except RequestError as caught:
            # The traceback's frames hold the body, and this one holds the error.
            error = caught.with_traceback(None)
        except Exception:
            # Formatted here, since a log sink may be configured to add the values of
            # local variables, which include API keys.
            logger.error(
                "[callers] request {}: unexpected error\n{}",
                exchange.request_id,
                traceback.format_exc(),
            )
            error = RequestError(
                ErrorKind.INTERNAL, "an internal error occurred", ran=Ran.UNKNOWN
            )
        finally:
            exchange.release_body()
        return self._fail(exchange, error)

    def _fail(self, exchange: Exchange, error: RequestError) -> list[bytes]:
        self.errors[error.kind] += 1
        if not exchange.started:
            return exchange.fail(error)
        logger.info(
            "[callers] request {}: ended with {} ({}): {}",
            exchange.request_id,
            error.kind.value,
            error.ran.value,
            error.message,
        )
        if error.kind is ErrorKind.INTERNAL:
            # Closing the connection without the last chunk shows the caller that the
            # stream is incomplete.
            raise ConnectionResetError(error.message)
        return []

    def _build_routes(self) -> bottle.Bottle:
        app = bottle.Bottle(catchall=False)
        app.default_error_handler = self._routing_error
        app.post("/v1/completions", callback=self._completion)
        app.post("/v1/chat/completions", callback=self._chat)
        app.get("/v1/models", callback=self._models)
        app.get("/v1/models/<model:path>", callback=self._model)
        app.get("/v1/addresses", callback=self._addresses)
        app.route("/services/<pool>/<path:path>", method="ANY", callback=self._service)
        app.get("/health", callback=self._health)
        app.get("/metrics", callback=self._metrics)
        return app

    def _routing_error(self, error: bottle.HTTPError) -> None:
        # Quoted and truncated, since the path is logged and may contain line breaks.
        path = repr(bottle.request.path)[:MAX_QUOTED_CHARACTERS]
        if error.status_code == 405:
            raise RequestError(
                ErrorKind.WRONG_METHOD,
                f"{bottle.request.method} is not allowed for {path}; "
                f"allowed: {error.headers.get('Allow')}",
            )
        raise RequestError(ErrorKind.UNKNOWN_PATH, f"there is no path {path}")

    # Steps shared by the routes

    def _preset(self) -> Preset:
        preset = self._services.configuration.preset
        if preset is None:
            raise RequestError(
                ErrorKind.NOT_READY,
                "this host has no configuration yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        return preset

    def _authenticate_request(self) -> tuple[Exchange, Preset, WorkspacePolicy]:
        exchange = bottle.request.environ[ENVIRON_KEY]
        preset = self._preset()
        workspace = self._authenticator.authenticate(
            preset, exchange.header("Authorization")
        )
        return exchange, preset, workspace

    def _json(self, content: object) -> bytes:
        bottle.response.content_type = JSON
        return orjson.dumps(content)

    # Routes

    def _completion(self) -> bytes:
        return self._complete(chat=False)

    def _chat(self) -> bytes:
        return self._complete(chat=True)

    def _complete(self, *, chat: bool) -> bytes:
        exchange, preset, workspace = self._authenticate_request()
        body = exchange.environ[BODY_KEY]
        bottle.response.content_type = JSON
        return self._completions.handle(exchange, body, preset, workspace, chat=chat)

    def _models(self) -> bytes:
        _, preset, _ = self._authenticate_request()
        data = [_model_object(model_id) for model_id in model_ids(preset)]
        return self._json({"object": "list", "data": data})

    def _model(self, model: str) -> bytes:
        _, preset, _ = self._authenticate_request()
        if model not in model_ids(preset):
            raise unknown_model(model)
        return self._json(_model_object(model))

    def _addresses(self) -> bytes:
        self._authenticate_request()
        zone = bottle.request.query.get("availability_zone")
        answer = self._services.addresses(zone)
        bottle.response.set_header("Cache-Control", f"max-age={int(answer.max_age_s)}")
        return self._json(
            {"addresses": list(answer.addresses), "max_age_s": answer.max_age_s}
        )

    def _health(self) -> bytes:
        if self._is_draining():
            return self._unhealthy("draining")
        if self._services.configuration.preset is None:
            return self._unhealthy("not_ready")
        return self._json({"status": "ok"})

    def _unhealthy(self, status: str) -> bytes:
        bottle.response.status = 503
        return self._json({"status": status})

    def _metrics(self) -> bytes:
        content_type, body = self._services.render_metrics()
        bottle.response.content_type = content_type
        return body

    def _service(self, pool: str, path: str) -> bytes:
        exchange, preset, workspace = self._authenticate_request()
        policy = preset.services.get(pool)
        if policy is None:
            raise RequestError(
                ErrorKind.UNKNOWN_SERVICE, f"there is no service {pool!r}"
            )
        call = _service_call(exchange, pool, policy)
        deadline_s = self._services.clock() + policy.timeout_s
        grant = self._services.admission.admit(
            AdmissionRequest(
                request_id=exchange.request_id,
                workspace=workspace,
                model=None,
                pool=pool,
                prompt_tokens=0,
                max_tokens=0,
                deadline_s=deadline_s,
            )
        )
        try:
            answer = self._services.delivery.call_service(
                ServiceRequest(call, workspace.name, policy, deadline_s)
            )
        finally:
            grant.release(output_tokens=0)
        return _service_answer(answer)


def _model_object(model_id: str) -> dict:
    return {
        "id": model_id,
        "object": "model",
        "created": 0,
        "owned_by": "persimmonyoke",
    }


def _service_call(exchange: Exchange, pool: str, policy: ServicePolicy) -> ServiceCall:
    method = bottle.request.method
    allowed = policy.once_methods | policy.idempotent_methods
    if method not in allowed:
        raise RequestError(
            ErrorKind.WRONG_METHOD,
            f"{method} is not allowed for {pool}; allowed: "
            f"{', '.join(sorted(allowed))}",
        )
    headers = {
        name: value
        for name in FORWARDED_HEADERS
        if (value := exchange.header(name)) is not None
    }
    return ServiceCall(
        request_id=exchange.request_id,
        pool=pool,
        method=method,
        path=_service_path(exchange),
        headers=headers,
        body=exchange.environ[BODY_KEY],
        idempotency_key=_idempotency_key(exchange),
    )


def _service_path(exchange: Exchange) -> str:
    """Return the path below the pool as the caller encoded it, with its query."""
    raw = exchange.environ["persimmonyoke.raw_path"]
    path, _, query = raw.partition("?")
    rest = "/" + path.split("/", 3)[3]
    target = f"{rest}?{query}" if query else rest
    if not _PRINTABLE.fullmatch(target) or ".." in unquote(rest).split("/"):
        raise RequestError(
            ErrorKind.INVALID_VALUE,
            "the path must be percent-encoded and must not contain '..'",
            param="path",
        )
    return target


def _idempotency_key(exchange: Exchange) -> str | None:
    key = exchange.header(IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if len(key) > MAX_KEY_CHARACTERS or not _PRINTABLE.fullmatch(key):
        raise RequestError(
            ErrorKind.INVALID_VALUE,
            f"{IDEMPOTENCY_HEADER} must be 1 to {MAX_KEY_CHARACTERS} visible ASCII "
            "characters",
            param=IDEMPOTENCY_HEADER,
        )
    return key


def _service_answer(answer: ServiceAnswer) -> bytes:
    bottle.response.status = answer.status
    for name, value in answer.headers.items():
        if name.lower() not in DROPPED_ANSWER_HEADERS:
            bottle.response.set_header(name, value)
    return b"" if answer.status in _STATUS_WITHOUT_BODY else answer.body
