"""Execution of claim operations at a shard's owner or, as a fallback, locally."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from loguru import logger

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.once.document import (
    LOCAL_RETRY_EFFECTS,
    Action,
    Effect,
    Operation,
    Result,
)
from persimmonyoke.internal.once.forwarding import (
    ClaimForwarder,
    decode_batch,
    decode_operation,
    decode_result,
    encode_batch,
    encode_operation,
    encode_result,
)
from persimmonyoke.internal.once.placement import choose_owner, is_timed
from persimmonyoke.internal.once.settings import ClaimSettings, writer_limits
from persimmonyoke.internal.once.writer import PendingOperation, ShardWriter
from persimmonyoke.internal.platform.store import KeyValueStore

WRITER_IDLE_S = 30.0


class OperationExecutor:
    """Forward operations to the owner of their shard, or run them here if it fails."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        prefix: str,
        host: str,
        live_hosts: Callable[[], Iterable[str]],
        forwarder: ClaimForwarder,
        settings: ClaimSettings,
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        self.forwarder = forwarder
        self.writers: dict[str, ShardWriter] = {}
        self._store = store
        self._prefix = prefix
        self._host = host
        self._live_hosts = live_hosts
        self._settings = settings
        self._clock = clock
        self._unix_clock = unix_clock

    def execute(
        self, operation: Operation, *, timeout_s: float, is_urgent: bool = True
    ) -> Result:
        """Execute an operation at the shard's owner or locally; return the result."""
        end_s = self._clock() + timeout_s
        forwarded = self._forward(operation, is_urgent)
        if forwarded is not None and forwarded.effect not in LOCAL_RETRY_EFFECTS:
            return forwarded
        # The owner may still commit an unsettled operation. Writing the same attempt
        # here settles it: the document holds an attempt once, whoever wrote it. It may
        # succeed where the owner failed, which alone may have lost its connection to
        # the store, or whose process may have stalled.
        local = self._execute_here(operation, end_s=end_s)
        owner_may_write = forwarded is not None and forwarded.effect is Effect.UNSETTLED
        return replace(local, owner_may_write=owner_may_write)

    def submit(self, operation: Operation, *, deadline_s: float) -> PendingOperation:
        """Queue an operation for the next write of its shard by this host."""
        return self._writer(operation.shard).submit(operation, deadline_s=deadline_s)

    def handle(self, host: str, payload: bytes) -> bytes:
        """Execute operations that another host forwards; raise ``ProtocolError``."""
        batch = decode_batch(payload)
        operations = [decode_operation(item) for item in batch or (payload,)]
        for operation in operations:
            if operation.host != host:
                sender = operation.host
                raise ProtocolError(f"{host} forwarded an operation of {sender}")
        timeout_s = self._settings.forward_timeout_s
        deadline_s = self._clock() + timeout_s
        # The forwarding host takes over operations that the owner does not settle, so
        # the owner keeps no forwarded operation beyond the timeout.
        waiting = [
            self.submit(operation, deadline_s=deadline_s) for operation in operations
        ]
        results = [
            encode_result(pending.wait(deadline_s - self._clock()))
            for pending in waiting
        ]
        return results[0] if batch is None else encode_batch(results)

    def owner(self, shard: str) -> str:
        """Return the host that batches the writes of a shard."""
        return choose_owner(shard, self._live_hosts()) or self._host

    def busy(self) -> bool:
        """Return whether operations wait for the store."""
        return any(writer.busy for writer in list(self.writers.values()))

    def stop(self) -> None:
        """Stop the writers."""
        for writer in list(self.writers.values()):
            writer.stop()

    def _forward(self, operation: Operation, is_urgent: bool) -> Result | None:
        """Return the owner's result, or ``None`` if the operation was not sent."""
        owner = self.owner(operation.shard)
        if owner == self._host:
            return None
        forwarder = self.forwarder
        send = forwarder.forward if is_urgent else forwarder.forward_later
        try:
            payload = send(
                owner,
                encode_operation(operation),
                timeout_s=self._settings.forward_timeout_s,
            )
        except ConnectionError as error:
            logger.debug("[once] could not reach shard owner {}: {}", owner, error)
            return None
        if payload is None:
            return Result(Effect.UNSETTLED, reason=f"{owner} did not answer")
        try:
            return decode_result(payload)
        except ProtocolError as error:
            return Result(Effect.UNSETTLED, reason=str(error))

    def _execute_here(self, operation: Operation, *, end_s: float) -> Result:
        persistent = operation.action is not Action.CLAIM
        now_s = self._clock()
        deadline_s = now_s + self._settings.retry_for_s if persistent else end_s
        pending = self.submit(operation, deadline_s=deadline_s)
        return pending.wait(end_s - now_s)

    def _writer(self, shard: str) -> ShardWriter:
        writer = self.writers.get(shard)
        if writer is None:
            self._drop_idle_writers()
            limits = writer_limits(self._settings, timed=is_timed(shard))
            writer = ShardWriter(
                self._store,
                self._prefix + shard,
                limits,
                clock=self._clock,
                unix_clock=self._unix_clock,
            )
            self.writers[shard] = writer
        return writer

    def _drop_idle_writers(self) -> None:
        oldest_s = self._clock() - WRITER_IDLE_S
        for shard, writer in list(self.writers.items()):
            if not writer.busy and writer.last_used_s < oldest_s:
                del self.writers[shard]
