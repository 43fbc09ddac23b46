"""Stand-in for a replica of a plain service on raw sockets."""

import socket
import threading
import time

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


class Request:
    """Hold the head of a request and the bytes of its body."""

    def __init__(self, method, path, headers):
        self.method, self.path, self.headers = method, path, headers
        self.body = b""

    @property
    def request_id(self):
        """Return the request's id."""
        return self.headers.get("request-id", "")


def answer(request, body=b"done", status=200, **headers):
    """Return a complete stamped answer of a replica."""
    lines = [f"HTTP/1.1 {status} X", f"Request-Id: {request.request_id}"]
    lines += [f"Server-Stamp: {STAMP}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Connection:
    """Read requests from one connection and write answers to it."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def read_head(self):
        """Return the next request without its body, or None at the end."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.more():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _version = lines[0].split(" ")
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        return Request(method, path, headers)

    def read_body(self, request):
        """Read the body of a request; return whether it came in full."""
        size = int(request.headers.get("content-length", "0"))
        while len(self.buffer) < size:
            if not self.more():
                request.body, self.buffer = self.buffer, b""
                return False
        request.body, self.buffer = self.buffer[:size], self.buffer[size:]
        return True

    def more(self):
        """Receive more bytes; return whether there were any."""
        try:
            data = self.sock.recv(65_536)
        except OSError:
            return False
        self.buffer += data
        return bool(data)


class PlainReplica:
    """Serve each request by ``work(request, connection)`` in a thread of its own.

    ``work`` returns whether the connection is kept.
    """

    def __init__(self, replica_id, record, work, *, receive_buffer=0):
        self.replica_id, self._record, self._work = replica_id, record, work
        self.run_ids = []
        self._receive_buffer, self.port = receive_buffer, 0
        self.listen()

    def listen(self):
        """Accept connections, after the first time at the same port again."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._receive_buffer:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        self._listener.bind(("127.0.0.1", self.port))
        self._listener.listen(100)
        self.port = self._listener.getsockname()[1]
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def refuse(self):
        """Refuse new connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while (request := connection.read_head()) is not None:
                expected = request.headers.get("expect-instance")
                if expected not in (None, self.replica_id):
                    connection.read_body(request)
                    sock.sendall(
                        f"HTTP/1.1 421 X\r\nRequest-Id: {request.request_id}\r\n"
                        f"Replica-Id: {self.replica_id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                elif not self._work(request, connection):
                    return
        except OSError:
            # The host may close a connection at any time.
            return
        finally:
            sock.close()

    def run(self, request):
        """Record that the replica began to work on a request."""
        self.run_ids.append(request.request_id)
        self._record(
            "replica_runs",
            replica=self.replica_id,
            id=request.request_id,
            path=request.path,
            body=len(request.body),
        )


def wait_until(condition, timeout_s):
    """Wait until a condition holds; return whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(0.02)
    return False
