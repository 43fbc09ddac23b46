"""Clients of the upstreams, one for each address."""

import math
from collections.abc import Iterable

from persimmonyoke.internal.upstreams.api import Upstream
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient

# Delivery detects stalled streams itself. A socket timeout would cost a timer for each
# event.
STREAM_IDLE_TIMEOUT_S = math.inf


class UpstreamClients:
    """Keep a client with pooled connections for each upstream in use."""

    def __init__(self) -> None:
        self._engines: dict[str, HttpEngineClient] = {}
        self._services: dict[str, HttpServiceClient] = {}

    def engine(self, upstream: Upstream, *, fresh: bool = False) -> HttpEngineClient:
        """Return the client of an engine; a fresh one only opens new connections."""
        client = self._engines.get(upstream.address)
        if client is None:
            client = self._engines[upstream.address] = HttpEngineClient(
                upstream.address, idle_timeout_s=STREAM_IDLE_TIMEOUT_S
            )
        if not fresh:
            return client
        unpooled = HttpEngineClient(
            upstream.address, pooled=False, idle_timeout_s=STREAM_IDLE_TIMEOUT_S
        )
        unpooled.incarnation = client.incarnation or upstream.incarnation
        return unpooled

    def service(self, upstream: Upstream) -> HttpServiceClient:
        """Return the client of a replica of a plain service."""
        client = self._services.get(upstream.address)
        if client is None:
            client = self._services[upstream.address] = HttpServiceClient(
                upstream.address
            )
        return client

    def keep_only(self, upstreams: Iterable[Upstream]) -> None:
        """Close and remove the clients of all other upstreams."""
        addresses = {upstream.address for upstream in upstreams}
        for clients in (self._engines, self._services):
            for address in clients.keys() - addresses:
                clients.pop(address).close()
