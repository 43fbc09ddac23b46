"""A replica answers before it has read a long body, and reads on a second later."""

import sys
import threading
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
LONG_ID = "long-1"
REPLICAS = 2
SOUND_REQUESTS = 160
"""Requests before the long one, so that few of a replica's answers are early."""

IDLE_S = 5.0
"""Pause before the long request, in which the host closes idle connections."""

LATER_REQUESTS = 12


def play(world):
    """Play the case; return whether the rule was broken."""
    record = world.record
    foreign, early_ids = [], []

    def serve(number):
        def work(request, connection):
            is_long = request.request_id == LONG_ID
            early = TROUBLE and is_long and not early_ids
            if early:
                early_ids.append(replica.replica_id)
                connection.sock.sendall(answer(request, b"too long", 413))
                record(
                    "replica_answered_early",
                    replica=replica.replica_id,
                    id=request.request_id,
                )
                time.sleep(READS_ON_AFTER_S)
            complete = connection.read_body(request)
            if request.request_id == LONG_ID:
                note_long_body(request, complete)
            if not early and complete:
                replica.run(request)
                connection.sock.sendall(answer(request))
            return complete

        replica = PlainReplica(f"i-{number}", record, work, receive_buffer=4_096)
        return replica

    def note_long_body(request, complete):
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

    replicas = [serve(number) for number in range(REPLICAS)]
    store = Store(record)
    beats = Beats(store)
    for replica in replicas:
        beats.add(replica.replica_id, entry("registry-api", replica.port))
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

    for number in range(SOUND_REQUESTS):
        send(f"sound-{number}", "/register/1", b"s" * 600)
    time.sleep(IDLE_S)
    send(LONG_ID, "/lookup/1", b"L" * LONG_BODY_BYTES)
    later = [
        threading.Thread(target=send, args=(f"later-{n}", "/register/1", b"s" * 600))
        for n in range(LATER_REQUESTS)
    ]
    for thread in later:
        thread.start()
    for thread in later:
        thread.join()
    time.sleep(READS_ON_AFTER_S + 1.5)
    return bool(foreign)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
