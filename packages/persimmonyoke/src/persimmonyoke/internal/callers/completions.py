"""Handling of completion and chat requests, streamed or not, new or resumed."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.callers.api import (
    AdmissionRequest,
    CallerLimits,
    CallerServices,
)
from persimmonyoke.internal.callers.exchange import Exchange
from persimmonyoke.internal.callers.frames import ResponseEncoder, Usage
from persimmonyoke.internal.callers.parsing import (
    ParsedRequest,
    model_ids,
    parse_chat,
    parse_completion,
    unknown_model,
)
from persimmonyoke.internal.callers.sinks import BodySink, StreamSink
from persimmonyoke.internal.callers.watch import DisconnectWatcher
from persimmonyoke.internal.delivery.api import (
    CallerGone,
    CompletionRequest,
    CompletionResult,
    CompletionSink,
    ResumePoint,
    content_digest,
)
from persimmonyoke.internal.delivery.stream_token import (
    InvalidToken,
    StreamOrigin,
    StreamToken,
    TokenIssuer,
)
from persimmonyoke.internal.presets.model import Preset, WorkspacePolicy
from persimmonyoke.internal.upstreams.api import Upstream

RESUME_HEADER = "Last-Event-ID"


@dataclass(frozen=True)
class _PreparedRequest:
    """Hold a new request, or a resumed one restored from its token."""

    request: CompletionRequest
    encoder: ResponseEncoder
    stream: bool
    deadline_unix_s: int


class CompletionHandler:
    """Answer ``/v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, services: CallerServices, limits: CallerLimits) -> None:
        self._services = services
        self._limits = limits

    def handle(
        self,
        exchange: Exchange,
        body: bytes,
        preset: Preset,
        workspace: WorkspacePolicy,
        *,
        chat: bool,
    ) -> bytes:
        """Return the response body, which is empty if the response was streamed."""
        prepared = self._prepare(exchange, body, preset, workspace, chat=chat)
        with DisconnectWatcher(exchange.environ.get("persimmonyoke.descriptor")):
            try:
                return self._run(exchange, prepared, workspace)
            except CallerGone:
                raise RequestError(
                    ErrorKind.CALLER_GONE, "the caller closed the connection"
                ) from None

    # Parsing

    def _prepare(
        self,
        exchange: Exchange,
        body: bytes,
        preset: Preset,
        workspace: WorkspacePolicy,
        *,
        chat: bool,
    ) -> _PreparedRequest:
        token = self._resume_token(exchange, workspace)
        if token is None:
            parsed = self._parse(body, preset, chat=chat)
            return self._prepare_new(exchange, parsed, preset, workspace)
        if token.origin.chat is not chat:
            raise _invalid_token("the token belongs to another path")
        logger.info(
            "[callers] request {}: resumes {} at token {}",
            exchange.request_id,
            token.origin.request_id,
            token.offset,
        )
        parsed = self._parse(body, preset, chat=chat) if body else None
        return self._prepare_resumed(token, parsed, preset, workspace)

    def _resume_token(
        self, exchange: Exchange, workspace: WorkspacePolicy
    ) -> StreamToken | None:
        text = exchange.header(RESUME_HEADER)
        if text is None:
            return None
        try:
            return self._services.tokens.verify(
                text.strip(),
                workspace=workspace.name,
                now_unix_s=self._services.unix_clock(),
            )
        except InvalidToken as error:
            raise _invalid_token(str(error)) from None

    def _parse(self, body: bytes, preset: Preset, *, chat: bool) -> ParsedRequest:
        parse = parse_chat if chat else parse_completion
        return parse(body, preset, max_tokens=self._limits.max_output_tokens)

    def _prepare_new(
        self,
        exchange: Exchange,
        parsed: ParsedRequest,
        preset: Preset,
        workspace: WorkspacePolicy,
    ) -> _PreparedRequest:
        services = self._services
        total_s = preset.deadlines.total_s
        now_unix_s = services.unix_clock()
        request = CompletionRequest(
            request_id=exchange.request_id,
            workspace=workspace.name,
            model=parsed.model,
            adapter=parsed.adapter,
            prompt=parsed.prompt,
            max_tokens=parsed.max_tokens,
            deadline_s=services.clock() + total_s,
            content_digest=content_digest(parsed.model, parsed.adapter, parsed.prompt),
            prompt_tokens=services.count_tokens(parsed.prompt),
            priority=workspace.priority,
        )
        encoder = ResponseEncoder(
            request_id=exchange.request_id,
            model_id=parsed.model_id,
            created_unix_s=int(now_unix_s),
            chat=parsed.chat,
            include_usage=parsed.include_usage,
        )
        return _PreparedRequest(
            request, encoder, parsed.stream, int(now_unix_s + total_s) + 1
        )

    def _prepare_resumed(
        self,
        token: StreamToken,
        parsed: ParsedRequest | None,
        preset: Preset,
        workspace: WorkspacePolicy,
    ) -> _PreparedRequest:
        origin = token.origin
        names = model_ids(preset).get(origin.model)
        if names is None:
            raise unknown_model(origin.model)
        if parsed is not None:
            _check_same_request(origin, parsed)
        services = self._services
        left_s = min(
            origin.deadline_unix_s - services.unix_clock(), preset.deadlines.total_s
        )
        if left_s <= 0:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline of the request has passed",
                ran=Ran.RAN,
            )
        request = CompletionRequest(
            request_id=origin.request_id,
            workspace=workspace.name,
            model=names[0],
            adapter=names[1],
            prompt=None if parsed is None else parsed.prompt,
            max_tokens=origin.max_tokens,
            deadline_s=services.clock() + left_s,
            content_digest=origin.request_digest,
            prompt_tokens=origin.prompt_tokens,
            priority=workspace.priority,
            resume=token.resume_point,
        )
        encoder = ResponseEncoder(
            request_id=origin.request_id,
            model_id=origin.model,
            created_unix_s=origin.created_unix_s,
            chat=origin.chat,
            include_usage=origin.include_usage,
        )
        return _PreparedRequest(request, encoder, True, origin.deadline_unix_s)

    # Running

    def _run(
        self, exchange: Exchange, prepared: _PreparedRequest, workspace: WorkspacePolicy
    ) -> bytes:
        request = prepared.request
        grant = self._services.admission.admit(
            AdmissionRequest(
                request_id=request.request_id,
                workspace=workspace,
                model=request.model,
                pool=None,
                prompt_tokens=request.prompt_tokens,
                max_tokens=request.max_tokens - _offset(request.resume),
                deadline_s=request.deadline_s,
            )
        )
        output_tokens = 0
        try:
            run = self._run_stream if prepared.stream else self._run_unstreamed
            result, answer = run(exchange, prepared)
            output_tokens = result.output_tokens - _offset(request.resume)
            return answer
        finally:
            grant.release(output_tokens=output_tokens)

    def _run_unstreamed(
        self, exchange: Exchange, prepared: _PreparedRequest
    ) -> tuple[CompletionResult, bytes]:
        sink = BodySink()
        result = self._services.delivery.complete(prepared.request, sink)
        usage = Usage(prepared.request.prompt_tokens, result.output_tokens)
        return result, prepared.encoder.full_body(
            sink.text, result.finish_reason, usage
        )

    def _run_stream(
        self, exchange: Exchange, prepared: _PreparedRequest
    ) -> tuple[CompletionResult, bytes]:
        sink = StreamSink(
            exchange,
            prepared.encoder,
            self._issuer_factory(prepared),
            unix_clock=self._services.unix_clock,
        )
        try:
            result = self._complete(prepared, sink)
        except RequestError as error:
            if exchange.started and error.kind is not ErrorKind.CALLER_GONE:
                sink.fail(error)
            raise
        usage = Usage(prepared.request.prompt_tokens, result.output_tokens)
        sink.finish(result.finish_reason, usage)
        return result, b""

    def _complete(
        self, prepared: _PreparedRequest, sink: CompletionSink
    ) -> CompletionResult:
        return self._services.delivery.complete(prepared.request, sink)

    def _issuer_factory(
        self, prepared: _PreparedRequest
    ) -> Callable[[Upstream, str], TokenIssuer]:
        def make_issuer(upstream: Upstream, stream_id: str) -> TokenIssuer:
            origin = StreamOrigin(
                engine=upstream.name,
                incarnation=upstream.incarnation,
                stream_id=stream_id,
                request_id=prepared.request.request_id,
                request_digest=prepared.request.content_digest,
                model=prepared.encoder.model_id,
                prompt_tokens=prepared.request.prompt_tokens,
                max_tokens=prepared.request.max_tokens,
                created_unix_s=prepared.encoder.created_unix_s,
                deadline_unix_s=prepared.deadline_unix_s,
                chat=prepared.encoder.chat,
                include_usage=prepared.encoder.include_usage,
            )
            return self._services.tokens.issuer(prepared.request.workspace, origin)

        return make_issuer


def _offset(resume: ResumePoint | None) -> int:
    return 0 if resume is None else resume.offset


def _invalid_token(problem: str) -> RequestError:
    return RequestError(ErrorKind.INVALID_VALUE, problem, param=RESUME_HEADER)


def _check_same_request(origin: StreamOrigin, parsed: ParsedRequest) -> None:
    """Refuse a body that is not the one the token was issued for."""
    digest = content_digest(parsed.model, parsed.adapter, parsed.prompt)
    same = (
        digest == origin.request_digest
        and parsed.model_id == origin.model
        and parsed.max_tokens == origin.max_tokens
        and parsed.stream
    )
    if not same:
        raise _invalid_token("the body is not that of the stream to resume")
