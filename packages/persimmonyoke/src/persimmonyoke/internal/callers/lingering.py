"""Close a connection so that its client can still read the answer."""

import socket

import gevent

# Closing a socket with unread input resets the connection, which can discard the error
# answer before the client reads it. The input is therefore drained for up to this time.
LINGER_S = 1.0
LINGER_BYTES = 65_536


def linger(sock: socket.socket) -> None:
    """Send no more and discard what the client still sends, for a short time."""
    try:
        sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(LINGER_S, False):
            while sock.recv(LINGER_BYTES):
                # Without a pause, input that is always there would delay the timeout.
                gevent.sleep(0)
    except OSError:
        # The client has closed the connection, so there is nothing to wait for.
        pass
