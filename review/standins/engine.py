"""Stand-in for a model replica: state, orders, prefill calls and streams."""

import json
import threading
import time

from standins.plain import STAMP, PlainReplica
from standins.world import entry

STAGE_CHANGE_S = 3.0


class Engine(PlainReplica):
    """Carry out orders and serve streams; each order that arrives is kept."""

    def __init__(self, replica_id, record, beats, *, stage, pause_s=0.02, events=5):
        super().__init__(replica_id, record, self._serve_one)
        self.stage, self.busy, self.sequence = stage, False, 0
        self.orders = []
        self._beats, self._pause_s, self._events = beats, pause_s, events
        self._handles = 0
        self.born = int(time.time() * 1_000)

    def register(self):
        """Write this engine's entry, and go on writing it."""
        models = [{"name": "m", "version": 1, "adapters": []}]
        fields = {"stage": self.stage, "models": models, "slots": 64}
        self._beats.add(
            self.replica_id,
            entry("llm-pool", self.port, born=self.born, **fields),
        )

    def _serve_one(self, request, connection):
        if not connection.read_body(request):
            return False
        if request.path == "/report":
            return self._json(connection, 200, self._report())
        if request.path.startswith("/kv-list"):
            listing = {"epoch": 1, "next": 1, "held": [], "born": self.born}
            return self._json(connection, 200, listing)
        if request.path == "/order":
            status = self._order(json.loads(request.body))
            return self._json(connection, status, {"born": self.born})
        if request.method == "DELETE":
            return self._json(connection, 200, {"born": self.born})
        if request.headers.get("stage") == "prefill":
            self._handles += 1
            handle = {"kv-handle": f"h{self._handles}", "tokens": 10, "version": 1}
            return self._json(connection, 200, handle, request.request_id)
        return self.stream(request, connection)

    def stream(self, request, connection):
        """Run a request and write its events."""
        self.run(request)
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request.request_id}",
            f"Server-Stamp: {STAMP}",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        connection.sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self._events + 1):
            event = f"id: {number}\ndata: token{number}\n\n".encode()
            connection.sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(self._pause_s)
        connection.sock.sendall(b"0\r\n\r\n")
        self._record("replica_ended", replica=self.replica_id, id=request.request_id)
        return True

    def _report(self):
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 491_663,
            "kv-handles": 0,
            "born": self.born,
        }

    def _order(self, order):
        status = self._order_status(order)
        self.orders.append((time.monotonic(), order["holder"], order["fence"]))
        self._record(
            "order_arrives",
            engine=self.replica_id,
            holder=order["holder"],
            fence=order["fence"],
            stage=order["stage"],
            precondition=order.get("precondition"),
            status=status,
        )
        if status == 202:
            self.busy = True
            self.sequence += 1
            threading.Timer(STAGE_CHANGE_S, self._change, (order["stage"],)).start()
        return status

    def _order_status(self, order):
        if "holder" not in order or "fence" not in order:
            return 400
        if self.busy or order.get("precondition", self.sequence) != self.sequence:
            return 409
        return 200 if order["stage"] == self.stage else 202

    def _change(self, stage):
        self.stage, self.busy = stage, False
        self._record("stage_changed", engine=self.replica_id, stage=stage)
        self._beats.change(self.replica_id, stage=stage)

    @staticmethod
    def _json(connection, status, document, request_id=None):
        data = json.dumps(document).encode()
        lines = [f"HTTP/1.1 {status} X", "Content-Type: application/json"]
        lines.append(f"Content-Length: {len(data)}")
        if request_id is not None:
            lines += [f"Request-Id: {request_id}", f"Server-Stamp: {STAMP}"]
        connection.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        return True
