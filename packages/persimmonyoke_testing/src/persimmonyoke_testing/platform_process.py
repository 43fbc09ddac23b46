"""Run only the simulators of one firm, on the ports of the example settings.

Usage: ``python -m persimmonyoke_testing.platform_process --deployment kente``. Start
the processes of ``examples/<firm>`` afterwards.
"""

from gevent import monkey

monkey.patch_all()

import signal
import sys

import defopt
import gevent
from gevent.event import Event

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_testing.deployment_settings import EXAMPLE_ENTRIES, example_port
from persimmonyoke_testing.firms import FIRMS, Firm, find_firm
from persimmonyoke_testing.platform_fleet import PlatformFleet, PlatformPorts


def run(*, deployment: str = "kente", entries: int = EXAMPLE_ENTRIES) -> int:
    """Run the simulators until SIGTERM or SIGINT.

    :param deployment: kente or kereru
    :param entries: number of example entry hosts to add to the host list
    """
    if deployment not in FIRMS:
        accepted = ", ".join(FIRMS)
        print(
            f"deployment is {deployment!r}; accepted: {accepted}",
            file=sys.stderr,
        )
        return 2
    configure_logging(level="WARNING")
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    fleet = start_example_platform(find_firm(deployment), entries=entries)
    print(f"key-value {fleet.key_value.url}", flush=True)
    print("ready", flush=True)
    stopped.wait()
    fleet.stop()
    return 0


def start_example_platform(firm: Firm, *, entries: int) -> PlatformFleet:
    """Start the simulators on the ports of the example settings."""
    fleet = PlatformFleet(firm, ports=PlatformPorts.fixed(firm))
    fleet.start()
    for index in range(entries):
        address = f"127.0.0.1:{example_port(firm, index)}"
        fleet.list_entry(f"entry-{index + 1}", address, firm.zone(index))
    return fleet


if __name__ == "__main__":
    sys.exit(defopt.run(run))
