"""Run one simulated engine in a separate process, for benchmarks.

Usage: ``python -m persimmonyoke_testing.engine_process SETTINGS``, where SETTINGS is a
JSON object with fields of ``EngineSettings`` and, under ``timing``, of
``EngineTiming``. Prints ``address 127.0.0.1:PORT`` when ready.
"""

from gevent import monkey

monkey.patch_all()

import json
import signal
import sys

import gevent
from gevent.event import Event

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_testing.engine import EngineSettings, EngineStandIn, EngineTiming


def main(text: str) -> int:
    """Run the engine until SIGTERM or SIGINT."""
    configure_logging(level="WARNING")
    fields = json.loads(text)
    timing = EngineTiming(**fields.pop("timing", {}))
    fields["models"] = tuple(fields.get("models", ()))
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    with EngineStandIn(EngineSettings(timing=timing, **fields)) as engine:
        print(f"address {engine.address}", flush=True)
        stopped.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
