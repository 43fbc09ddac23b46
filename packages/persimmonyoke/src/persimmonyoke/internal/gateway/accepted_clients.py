"""Connections of clients that a host has accepted."""

from gevent import socket

from persimmonyoke.internal.gateway.client_connection import ClientConnection
from persimmonyoke.internal.gateway.client_table import ClientPhase
from persimmonyoke.internal.gateway.state import GatewayState


def accepted_client(sock: socket.socket, state: GatewayState) -> ClientConnection:
    """Return the connection of a client, which tells of its progress."""

    def note_progress(phase: ClientPhase) -> None:
        state.clients.note_progress(connection, phase)

    connection = ClientConnection(
        sock, lambda: state.limits, state.memory, note_progress
    )
    return connection
