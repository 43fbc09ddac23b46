"""A replica answers before it has read a long body, and reads on a second later."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.plain import PlainReplica, answer
from standins.store import Store
from standins.world import (
    HOST_NAME,
    PLAIN_SERVICE,
    TROUBLE,
    Beats,
    Client,
    configuration,
    entry,
    route,
    run_case,
)

LONG_BODY_BYTES = 4_190_000
"""Below ``max-body-bytes`` (4,194,304) of the configuration."""

READS_ON_AFTER_S = 1.0
DEADLINE_MS = 1_000
LONG_ID, SHORT_ID = "long-1", "short-1"


def play(world):
    """Play the case; return whether the rule was broken."""
    record = world.record
    foreign = []

    def work(request, connection):
        early = TROUBLE and request.request_id == LONG_ID
        if early:
            connection.sock.sendall(answer(request, b"too long", 413))
            record("replica_answered_early", id=request.request_id)
            time.sleep(READS_ON_AFTER_S)
        complete = connection.read_body(request)
        if request.request_id == LONG_ID:
            good = request.body == b"L" * len(request.body)
            record(
                "replica_read_long_body",
                complete=complete,
                bytes=len(request.body),
                only_its_own=good,
            )
            if not good:
                at = len(request.body) - len(request.body.lstrip(b"L"))
                foreign.append(request.body[at : at + 80])
                record("foreign_bytes_in_body", at=at, bytes=foreign[-1])
        if not early and complete:
            replica.run(request)
            connection.sock.sendall(answer(request))
        return complete

    replica = PlainReplica("i-1", record, work, receive_buffer=4_096)
    store = Store(record)
    beats = Beats(store)
    beats.add("i-1", entry("registry-api", replica.port))
    routes = [
        route("lookup", "idempotent", "registry-api"),
        route("register", "non_idempotent", "registry-api"),
    ]
    store.put("op/config", configuration(3, routes, [PLAIN_SERVICE]))
    host = world.host("front-1", store.port)
    host.start()
    host.wait_ready()
    time.sleep(1.0)

    def send(request_id, path, body):
        headers = {"Host": HOST_NAME, "Request-Id": request_id}
        headers["Deadline-Ms"] = str(DEADLINE_MS)
        client = Client(host.front)
        record("client_sends", id=request_id, path=path, body=len(body))
        got = client.request("POST", path, headers, body, timeout_s=DEADLINE_MS / 1_000)
        record("client_got", id=request_id, answer=got)
        client.close()

    send(LONG_ID, "/lookup/1", b"L" * LONG_BODY_BYTES)
    send(SHORT_ID, "/register/1", b"s" * 600)
    time.sleep(READS_ON_AFTER_S + 1.5)
    return bool(foreign)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
