"""Liveness probe over a new connection."""

from http.client import HTTPException

from gevent import Timeout
from urllib3.exceptions import HTTPError

from persimmonyoke.internal.upstreams.api import Upstream
from persimmonyoke.internal.upstreams.connections import (
    UpstreamConnection,
    split_address,
)

PROBE_PATH = "/health"
PROBE_TIMEOUT_S = 1.0


def probe(upstream: Upstream, *, timeout_s: float = PROBE_TIMEOUT_S) -> bool:
    """Return whether the upstream answers over a new connection.

    Any HTTP response counts as success, since only the process and the network path are
    checked. This distinguishes a stalled connection from a failed upstream.
    """
    host, port = split_address(upstream.address)
    connection = UpstreamConnection(host, port)
    headers = {"Connection": "close"}
    try:
        with Timeout(timeout_s, TimeoutError("probe timed out")):
            connection.start("GET", PROBE_PATH, None, headers, timeout_s=timeout_s)
            connection.read_head().read()
    except (OSError, HTTPException, HTTPError):
        return False
    finally:
        connection.close()
    return True
