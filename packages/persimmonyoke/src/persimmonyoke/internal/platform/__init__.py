"""Clients of the platform: key-value service, host list and weight store."""

from persimmonyoke.internal.platform.budget import Operation, RateBudget
from persimmonyoke.internal.platform.etcd_store import EtcdGatewayStore
from persimmonyoke.internal.platform.hosts import (
    HostEntry,
    HostList,
    HostRole,
    HostState,
    HttpHostList,
)
from persimmonyoke.internal.platform.settle import Settlement, settle_write
from persimmonyoke.internal.platform.store import (
    EXPECT_ABSENT,
    MAX_VALUE_BYTES,
    KeyValue,
    KeyValueStore,
    Purpose,
    WatchCompacted,
    WatchEvent,
    WatchNotice,
    WriteApplied,
    WriteConflict,
    WriteNotApplied,
    WriteOutcome,
    WriteUnknown,
)
from persimmonyoke.internal.platform.weights import (
    HttpWeightStore,
    WeightInfo,
    WeightSlot,
    WeightStore,
)

__all__ = [
    "EXPECT_ABSENT",
    "MAX_VALUE_BYTES",
    "EtcdGatewayStore",
    "HostEntry",
    "HostList",
    "HostRole",
    "HostState",
    "HttpHostList",
    "HttpWeightStore",
    "KeyValue",
    "KeyValueStore",
    "Operation",
    "Purpose",
    "RateBudget",
    "Settlement",
    "WatchCompacted",
    "WatchEvent",
    "WatchNotice",
    "WeightInfo",
    "WeightSlot",
    "WeightStore",
    "WriteApplied",
    "WriteConflict",
    "WriteNotApplied",
    "WriteOutcome",
    "WriteUnknown",
    "settle_write",
]
