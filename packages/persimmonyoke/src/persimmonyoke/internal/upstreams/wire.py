"""JSON encoding and decoding of the engine protocol."""

from collections.abc import Mapping
from typing import Any

import orjson

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams.api import (
    CacheEvent,
    CacheEventBatch,
    EngineState,
    GenerateCall,
    LoadReport,
    Order,
    Role,
    StreamEvent,
)

_RESERVED_ORDER_FIELDS = frozenset({"order_id", "fencing", "action"})


def encode_generate(call: GenerateCall) -> bytes:
    """Return the body of ``POST /generate``."""
    body = {
        "request_id": call.request_id,
        "model": call.model,
        "adapter": call.adapter,
        "prompt": call.prompt,
        "prefix_text": call.prefix_text,
        "max_tokens": call.max_tokens,
        "priority": call.priority,
        "stream": True,
        "phase": call.phase.value,
    }
    if call.kv_handle is not None:
        body["kv_handle"] = call.kv_handle
    return orjson.dumps(body)


def encode_order(order: Order) -> bytes:
    """Return the body of ``POST /orders``, with the arguments as top-level fields."""
    reserved = _RESERVED_ORDER_FIELDS & order.arguments.keys()
    if reserved:
        raise ValueError(f"order arguments must not contain {sorted(reserved)}")
    body = {
        "order_id": order.order_id,
        "fencing": order.fencing,
        "action": order.action,
    }
    return orjson.dumps(body | dict(order.arguments))


def decode_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise ``ProtocolError`` for anything else."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(f"answer is not JSON: {data[:80]!r}") from error
    if not isinstance(value, dict):
        raise ProtocolError(f"answer is not a JSON object: {data[:80]!r}")
    return value


def decode_event(data: bytes) -> StreamEvent:
    """Parse one event of a stream."""
    try:
        body = orjson.loads(data)
        return StreamEvent(
            body["request_id"],
            body["stream_id"],
            body["offset"],
            body["text"],
            body["tokens"],
            body.get("finish_reason"),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(f"malformed event: {data[:80]!r}") from error


def decode_state(data: bytes) -> EngineState:
    """Parse the answer of ``GET /state``."""
    body = decode_object(data)
    try:
        return EngineState(
            name=body["name"],
            incarnation=body["incarnation"],
            role=Role(body["role"]),
            models=tuple(body["models"]),
            adapters=tuple(body["adapters"]),
            version=body["version"],
            fencing=int(body["fencing"]),
            open_order_id=body.get("open_order_id"),
            last_order_id=body.get("last_order_id"),
            last_order_status=body.get("last_order_status"),
            running_sequences=int(body["running_sequences"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise ProtocolError(f"malformed state: {data[:80]!r}") from error


def decode_load(data: bytes) -> LoadReport:
    """Parse the answer of ``GET /load``."""
    body = decode_object(data)
    try:
        return LoadReport(
            engine=body["engine"],
            incarnation=body["incarnation"],
            taken_unix_s=float(body["taken_unix_s"]),
            queued_prefill_tokens=int(body["queued_prefill_tokens"]),
            running_sequences=int(body["running_sequences"]),
            queued_sequences=int(body["queued_sequences"]),
            prefill_tokens_per_s=float(body["prefill_tokens_per_s"]),
            decode_tokens_per_s=float(body["decode_tokens_per_s"]),
            max_sequences=int(body["max_sequences"]),
            role=Role(body["role"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise ProtocolError(f"malformed load report: {data[:80]!r}") from error


def decode_cache_events(data: bytes, *, since: int) -> CacheEventBatch:
    """Parse the answer of ``GET /cache-events``.

    Each number from ``since`` up to ``next_number`` belongs to one event, so a missing
    number means a lost event even if the engine does not report a gap.
    """
    body = decode_object(data)
    try:
        events = tuple(_decode_cache_event(item) for item in body["events"])
        next_number = int(body["next_number"])
        gap = bool(body["gap"]) or len(events) != next_number - since
    except (ValueError, KeyError, TypeError) as error:
        raise ProtocolError(f"malformed cache events: {data[:80]!r}") from error
    return CacheEventBatch(events=events, next_number=next_number, gap=gap)


def _decode_cache_event(item: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        number=int(item["number"]),
        stored=bool(item["stored"]),
        piece=bytes.fromhex(item["piece"]),
    )
