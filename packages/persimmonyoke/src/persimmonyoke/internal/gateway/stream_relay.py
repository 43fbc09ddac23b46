"""Relay generation requests: prefill, event streams and their resumption."""

from persimmonyoke.internal.gateway.admission import AdmissionGate
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.engine_selection import (
    EngineSelection,
)
from persimmonyoke.internal.gateway.exchange import (
    Exchange,
)
from persimmonyoke.internal.gateway.prefill import (
    PrefillCaller,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_run import StreamRun
from persimmonyoke.internal.gateway.stream_version_guard import StreamVersionGuard
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard
from persimmonyoke.internal.gateway.upstream_call import UpstreamCaller


class StreamRelay:
    """Relay event streams from engines to clients."""

    def __init__(self, state: GatewayState, crashes: CrashDetector) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)
        self._crashes = crashes
        self._prefill = PrefillCaller(state, crashes)
        self._guard = SuspectGuard(state)
        self._probes = EngineProbes(state)
        self._gate = AdmissionGate(state)
        state.queued_s = lambda: self._gate.queued_s
        state.on_peer_work = self._gate.admit_waiting_if_affordable

    def relay(self, exchange: Exchange) -> None:
        """Serve a request; raise ``RequestError`` or ``StreamBroken`` if that fails."""
        versions = StreamVersionGuard(self._state, exchange)
        selection = EngineSelection(
            self._state,
            self._prefill,
            self._gate,
            self._guard,
            versions,
            self._probes,
            exchange,
        )
        run = StreamRun(
            self._state,
            self._caller,
            self._crashes,
            self._guard,
            versions,
            selection,
            self._probes,
            exchange,
        )
        run.run()
