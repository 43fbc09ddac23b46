"""Settings of one gateway process."""

from dataclasses import dataclass

from persimmonyoke.internal.gateway.held_memory import MIN_BUDGET_BYTES
from persimmonyoke.internal.gateway.sockets import (
    CLIENT_BUFFER_BYTES,
    KERNEL_OVERHEAD_FACTOR,
)

VIEW_AGE_SHARE = 0.8
"""Maximum age of the view, as a share of the time within which changes must apply.

The rest is left for reconnecting to the store and reading all entries.
"""


DEFAULT_MEMORY_BYTES = 200 * 1024 * 1024
"""Memory of a host if the platform states none."""

DEFAULT_DESCRIPTORS = 4_100
"""Descriptors of a host if the platform states none."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

CLIENT_SHARE = 0.4
"""Share of the other descriptors that clients may take.

A request needs a connection to a replica as well, which stays open for the next one.
The rest is for tunnels, other hosts and the store.
"""

PROGRAM_BYTES = 48 * 1024 * 1024
"""Memory of the program without any connection."""

CONNECTION_BYTES = 40 * 1024
"""Memory of a client's connection with a request.

What is held for it in the budget, and by the kernel, comes on top.
"""

MIN_CONNECTIONS = 64

PROCESS_BYTES = 80 * 1024 * 1024
"""Memory for the program, its view of the fleet and its connections."""

HELD_SHARE = 0.8
"""Share of the other memory that bodies may take.

The rest is for fragmentation, and for what arrives before it is counted.
"""


@dataclass(frozen=True)
class GatewaySettings:
    """Hold the addresses and limits of one entry host."""

    host_name: str
    availability_zone: str
    listen_host: str
    front_port: int
    ready_port: int
    directory_port: int
    peer_port: int
    grace_s: float
    lease_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    address_ttl_max_s: float
    drain_s: float
    """Time after which no new work may reach a draining replica."""
    config_apply_s: float
    """Time after which a new configuration must be active."""
    store_writes_per_s: float
    """Write calls a second that the store accepts from all hosts together."""
    memory_limit_bytes: int = DEFAULT_MEMORY_BYTES
    """Memory above which the platform kills this process."""
    max_descriptors: int = DEFAULT_DESCRIPTORS
    """Descriptors that this process may open, those for files included."""
    link_mbit_per_s: float = 0.0
    """Capacity of this host's link; 0 if the platform states none."""

    @property
    def held_limit_bytes(self) -> int:
        """Return the limit of what is held for clients."""
        left_bytes = self.memory_limit_bytes - PROCESS_BYTES
        return max(MIN_BUDGET_BYTES, int(HELD_SHARE * left_bytes))

    @property
    def connection_limit(self) -> int:
        """Return the limit of open connections of clients, on all ports."""
        sockets = self.max_descriptors - FILE_DESCRIPTORS
        left_bytes = self.memory_limit_bytes - self.held_limit_bytes - PROGRAM_BYTES
        each_bytes = CONNECTION_BYTES + 2 * KERNEL_OVERHEAD_FACTOR * CLIENT_BUFFER_BYTES
        limit = min(int(CLIENT_SHARE * sockets), left_bytes // each_bytes)
        return max(MIN_CONNECTIONS, limit)

    @property
    def view_age_limit_s(self) -> float:
        """Return the age at which the view of the store must be refreshed."""
        return VIEW_AGE_SHARE * min(self.drain_s, self.config_apply_s)

    @property
    def front_address(self) -> str:
        """Return the address that callers connect to."""
        return f"{self.listen_host}:{self.front_port}"
