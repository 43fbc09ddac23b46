"""Settings of one gateway process."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GatewaySettings:
    """Hold the addresses and bounds of one entry host."""

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

    @property
    def front_address(self) -> str:
        """Return the address that callers connect to."""
        return f"{self.listen_host}:{self.front_port}"
