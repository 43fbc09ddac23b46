"""Command that runs a complete deployment in one process."""

import signal
import sys

import gevent
from gevent.event import Event

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_cli.failures import UsageError

CURL_COMMAND = """\
curl -N {url}/v1/chat/completions \
-H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \
-d '{{"model": "{model}", "stream": true, "max_tokens": 16, \
"messages": [{{"role": "user", "content": "hello"}}]}}'"""


def demo(*, deployment: str = "kente", log_level: str = "ERROR") -> int:
    """Run the deployment of one firm with simulated engines until interrupted.

    Prints the addresses and keys, then ``ready`` and an example request.

    :param deployment: kente or kereru
    :param log_level: minimum level of the log lines on standard error
    """
    # Imported lazily: no other command needs a complete deployment.
    from persimmonyoke_testing.deployment import Deployment
    from persimmonyoke_testing.firms import FIRMS

    if deployment not in FIRMS:
        accepted = ", ".join(FIRMS)
        raise UsageError(f"deployment is {deployment!r}; accepted: {accepted}")
    configure_logging(level=log_level, stream=sys.stderr)
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    running = Deployment(deployment)
    starting = gevent.spawn(running.start)
    gevent.wait([starting, stopped], count=1)
    if not stopped.is_set():
        starting.get()
        _print_connection_details(running)
        stopped.wait()
    starting.kill()
    running.stop()
    return 0


def _print_connection_details(running: object) -> None:
    firm = running.firm
    for node in running.entries:
        print(f"entry {node.callers_url}")
    for node in running.entries:
        print(f"operators {node.operators_url}")
    print(f"operator token {firm.operator_token}")
    print(f"workspace key {firm.workspace_key}")
    print("ready")
    url = running.entries[0].callers_url
    print(
        CURL_COMMAND.format(url=url, key=firm.workspace_key, model=firm.model),
        flush=True,
    )
