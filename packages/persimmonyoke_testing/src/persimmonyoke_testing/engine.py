"""Simulated model engine that follows the engine HTTP protocol over loopback.

A token is a whitespace-separated word. ``expected_text`` returns the whole answer to a
prompt, also for an answer that was resumed or continued after a prefix.
"""

import dataclasses
import itertools
import time

import gevent

from persimmonyoke.internal.upstreams.api import Role, Upstream
from persimmonyoke_testing.engine_core import EngineCore
from persimmonyoke_testing.engine_http import EngineApp
from persimmonyoke_testing.engine_orders import Configuration
from persimmonyoke_testing.engine_record import EngineRecord, OrderRun, RequestRun
from persimmonyoke_testing.engine_settings import (
    EngineFaults,
    EngineSettings,
    EngineTiming,
)
from persimmonyoke_testing.engine_text import expected_text
from persimmonyoke_testing.held_port import HeldPort
from persimmonyoke_testing.loopback import LoopbackServer

__all__ = [
    "EngineFaults",
    "EngineRecord",
    "EngineSettings",
    "EngineStandIn",
    "EngineTiming",
    "OrderRun",
    "RequestRun",
    "expected_text",
]


class EngineStandIn:
    """Run a simulated engine until stopped; usable as a context manager."""

    def __init__(
        self,
        settings: EngineSettings | None = None,
        *,
        port: int = 0,
        **changes: object,
    ) -> None:
        """Prepare an engine; ``changes`` replace fields of the settings."""
        base = settings or EngineSettings()
        self.settings = dataclasses.replace(base, **changes)
        self.faults = EngineFaults()
        self.record = EngineRecord()
        self.configuration = Configuration(
            role=self.settings.role,
            models=list(self.settings.models),
            version=self.settings.version,
        )
        self.core: EngineCore | None = None
        self._server: LoopbackServer | None = None
        self._port = HeldPort(port)
        self._starts = itertools.count(1)
        self._watcher: gevent.Greenlet | None = None
        self._boot_id = f"{time.time_ns():x}"[-8:]

    def __enter__(self) -> "EngineStandIn":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def name(self) -> str:
        """Return the name of the engine."""
        return self.settings.name

    @property
    def address(self) -> str:
        """Return ``host:port``, which is stable across restarts."""
        return self._port.address

    @property
    def incarnation(self) -> str:
        """Return the current incarnation, an empty string while the engine is down."""
        return self.core.incarnation if self.core else ""

    @property
    def running(self) -> bool:
        """Return whether the engine accepts connections."""
        return self.core is not None

    def upstream(self) -> Upstream:
        """Return the directory entry of this engine."""
        return Upstream(
            name=self.settings.name,
            pool=self.settings.pool,
            address=self.address,
            availability_zone=self.settings.availability_zone,
            region=self.settings.region,
            role=Role(self.configuration.role),
            models=tuple(self.configuration.models),
            incarnation=self.incarnation,
        )

    def start(self) -> None:
        """Start a new incarnation on the same address."""
        if self.core is not None:
            raise RuntimeError(f"engine {self.settings.name} is already running")
        incarnation = f"{self.settings.name}-{self._boot_id}-{next(self._starts)}"
        core = EngineCore(
            self.settings,
            self.faults,
            self.configuration,
            self.record,
            incarnation=incarnation,
        )
        self._server = LoopbackServer(self._port.number, EngineApp(core))
        self._server.start()
        core.start()
        self.core = core
        self._watcher = gevent.spawn(self._watch_for_crash, core)

    def stop(self) -> None:
        """Stop the engine; it can be started again."""
        watcher, self._watcher = self._watcher, None
        if watcher is not None and watcher is not gevent.getcurrent():
            watcher.kill(block=False)
        self._end()

    def crash(self) -> None:
        """Simulate a crash: close all connections and discard the in-memory state."""
        if self.core is not None:
            self.record.counts["crashes"] += 1
            self._end()

    def restart(self) -> None:
        """Crash the engine if it is running, and start a new incarnation."""
        self.crash()
        self.start()

    def silence_open_connections(self) -> None:
        """Stop responding on open connections; new connections work normally."""
        if self._server is not None:
            self._server.silence()

    def _end(self) -> None:
        core, self.core = self.core, None
        if core is None or self._server is None:
            return
        self._server.drop_all()
        core.stop()
        if self.settings.forgets_fencing:
            self.configuration.fencing = 0

    def _watch_for_crash(self, core: EngineCore) -> None:
        core.crash_requested.wait()
        if self.core is not core:
            return
        self.crash()
        delay_s = self.faults.restart_after_s
        if delay_s is not None:
            gevent.sleep(self.settings.timing.scaled(delay_s))
            if self.core is None:
                self.start()
