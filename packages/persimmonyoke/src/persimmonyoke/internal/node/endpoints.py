"""Addresses that a process listens on."""

import socket


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of ``ip:port``, with a free port in place of 0.

    The identity that peers authenticate contains the addresses, so they must be known
    before the first listener starts.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    return host, int(port) or free_port(host)


def free_port(host: str) -> int:
    """Return a port that is currently unused."""
    with socket.create_server((host, 0)) as listener:
        return listener.getsockname()[1]


def join_address(address: tuple[str, int]) -> str:
    """Return ``ip:port``."""
    return f"{address[0]}:{address[1]}"
