"""Probe an engine, cancel its work and close its streams."""

from collections.abc import Iterator
from enum import Enum, auto

import gevent
from loguru import logger

from persimmonyoke.errors import PersimmonyokeError
from persimmonyoke.internal.delivery.parts import DeliveryContext
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    StreamEvent,
    Upstream,
)


class ProbeOutcome(Enum):
    """Name the result of a probe over a new connection."""

    ALIVE = auto()
    CRASHED = auto()
    UNREACHABLE = auto()


def probe(context: DeliveryContext, engine: Upstream) -> ProbeOutcome:
    """Query an engine over a new connection before treating it as failed."""
    client = context.engines.client(engine, fresh=True)
    try:
        with gevent.Timeout(context.options.probe_timeout_s):
            state = client.state()
    except EngineFailure as failure:
        return ProbeOutcome.CRASHED if failure.crashed else ProbeOutcome.UNREACHABLE
    except (gevent.Timeout, PersimmonyokeError):
        return ProbeOutcome.UNREACHABLE
    restarted = engine.incarnation not in ("", state.incarnation)
    return ProbeOutcome.CRASHED if restarted else ProbeOutcome.ALIVE


def cancel(context: DeliveryContext, engine: Upstream, request_id: str) -> None:
    """Cancel a request on an engine; an unreachable engine is only logged."""
    try:
        with gevent.Timeout(context.options.cancel_timeout_s):
            context.engines.client(engine, fresh=True).cancel(request_id)
    except (EngineFailure, PersimmonyokeError, gevent.Timeout) as failure:
        logger.info(
            "[delivery] request {}: cancelling on {} failed: {}",
            request_id,
            engine.name,
            failure,
        )


def drain(context: DeliveryContext, events: Iterator[StreamEvent]) -> None:
    """Read the end of a finished response, so that its connection can be reused."""
    try:
        with gevent.Timeout(context.options.drain_timeout_s):
            next(events, None)
    except (EngineFailure, PersimmonyokeError, gevent.Timeout):
        # The complete answer has already been delivered.
        pass
    finally:
        close(events)


def close(events: Iterator[StreamEvent]) -> None:
    """Close a stream; an iterator that is not a generator may hold no connection."""
    close_method = getattr(events, "close", None)
    if close_method is not None:
        close_method()
