"""Routing of requests to engines and to replicas of plain services, free of I/O."""

from persimmonyoke.internal.routing.costs import TransferCosts
from persimmonyoke.internal.routing.engines import (
    EngineChoice,
    NoEngine,
    NoEngineReason,
    RouteRequest,
    RoutingPolicy,
    choose_engine,
)
from persimmonyoke.internal.routing.load import LoadEstimate, LoadSource
from persimmonyoke.internal.routing.prefix_index import PrefixIndex
from persimmonyoke.internal.routing.services import (
    NoReplica,
    ServiceChoice,
    ServiceRoute,
    choose_service,
)
from persimmonyoke.internal.upstreams.pieces import (
    PIECE_TOKENS,
    count_tokens,
    prompt_pieces,
)

__all__ = [
    "PIECE_TOKENS",
    "EngineChoice",
    "LoadEstimate",
    "LoadSource",
    "NoEngine",
    "NoEngineReason",
    "NoReplica",
    "PrefixIndex",
    "RouteRequest",
    "RoutingPolicy",
    "ServiceChoice",
    "ServiceRoute",
    "TransferCosts",
    "choose_engine",
    "choose_service",
    "count_tokens",
    "prompt_pieces",
]
