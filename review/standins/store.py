"""Stand-in for the platform's metadata store, which can come back from an old copy."""

import base64
import json
import threading
import time
from copy import deepcopy
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

OWN_PREFIXES = ("op/", "servers/")
"""Keys that the operator and the replicas write; the system writes all others."""


class Store:
    """Keep items, leases and history under one revision counter."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self._items, self._leases, self._history = {}, {}, []
        self._revision, self._next_lease, self.era, self._oldest = 1, 1_000, 1, 0
        self._away = False
        self._connections = set()
        handler = type("Handler", (_Handler,), {"store": self})
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_loop, daemon=True).start()

    def put(self, key, document):
        """Write a JSON document as the operator or a replica; return the revision."""
        with self._changed:
            return self._put(key, json.dumps(document).encode(), 0)

    def remove(self, key):
        """Remove a key as its owner does."""
        with self._changed:
            self._remove(key)

    def value(self, key):
        """Return the value of a key as text, or None."""
        with self._changed:
            item = self._items.get(key)
            return base64.b64decode(item["value"]).decode() if item else None

    @property
    def revision(self):
        """Return the present revision."""
        with self._changed:
            return self._revision

    def copy(self):
        """Return a copy of the whole state, as a backup of the store has it."""
        with self._changed:
            return deepcopy((self._items, self._leases, self._history, self._revision))

    def restore(self, copy, away_s):
        """Go away for a moment and come back from a copy, under the next era.

        What the operator and the replicas wrote since is written again; what the
        system wrote since is gone, leases too.
        """
        with self._changed:
            self._away = True
            before = self._revision
            for connection in list(self._connections):
                connection.shut()
            self._changed.notify_all()
        time.sleep(away_s)
        with self._changed:
            latest = {
                k: i for k, i in self._items.items() if k.startswith(OWN_PREFIXES)
            }
            self._items, self._leases, self._history, self._revision = deepcopy(copy)
            copied = self._revision
            self.era += 1
            for key, item in latest.items():
                known = self._items.get(key)
                if known is None or known["value"] != item["value"]:
                    self._put(key, base64.b64decode(item["value"]), 0)
            self._away = False
            self._changed.notify_all()
        self._record(
            "store_restored",
            era=self.era,
            revision_before=before,
            revision_of_copy=copied,
            revision_after=self._revision,
        )

    def call(self, method, path, query, document):
        """Serve one call; return its status and answer."""
        name, argument = path.strip("/").split("/")[0], path.rsplit("/", 1)[-1]
        if name == "kv-watch":
            return self._watch(query)
        with self._changed:
            if name == "kv-key":
                item = self._items.get(query["key"])
                rev = {"current-rev": self._revision}
                return (404, rev) if item is None else (200, {**item, **rev})
            if name == "kv-range":
                return self._range(query)
            if name == "kv-txn":
                return self._transaction(document)
            if name == "kv-lease":
                self._next_lease += 1
                ttl_s = document["ttl-ms"] / 1_000
                self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self._next_lease, "ttl-ms": document["ttl-ms"]}
            if name == "kv-keep":
                lease = int(argument)
                if lease not in self._leases:
                    return 404, {}
                ttl_s = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttl-ms": int(ttl_s * 1_000)}
            if name == "kv-lease-end":
                return (200 if self._end_lease(int(argument)) else 404), {}
        return 404, {}

    def _put(self, key, value, lease):
        self._revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "create-rev": known["create-rev"] if known else self._revision,
            "lease": lease,
        }
        self._history.append(dict(self._items[key]))
        self._changed.notify_all()
        return self._revision

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "revision": self._revision, "removed": True}
            )
            self._changed.notify_all()

    def _range(self, query):
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:500]]
        return 200, {
            "items": page,
            "has-more": len(keys) > 500,
            "current-rev": self._revision,
        }

    def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path-prefix", "")
        end_s = time.monotonic() + int(query["wait-ms"]) / 1_000
        with self._changed:
            while True:
                if self._away:
                    return None
                if after > self._revision or after < self._oldest:
                    return 410, {}
                events = [
                    e
                    for e in self._history
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "current-rev": self._revision}
                self._changed.wait(left_s)

    def _transaction(self, document):
        for row in document["precondition"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        if any(p["lease"] and p["lease"] not in self._leases for p in document["puts"]):
            return 404, {}
        for put in document["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in document["remove"]:
            self._remove(key)
        return 200, {"revision": self._revision}

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)
        return True

    def _expire_loop(self):
        while True:
            time.sleep(0.02)
            with self._changed:
                if self._away:
                    continue
                now_s = time.monotonic()
                for lease in [k for k, v in self._leases.items() if v[0] <= now_s]:
                    self._end_lease(lease)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.store._connections.add(self)
        if self.store._away:
            self.shut()

    def finish(self):
        self.store._connections.discard(self)
        try:
            super().finish()
        except OSError:
            pass

    def shut(self):
        try:
            self.connection.shutdown(2)
        except OSError:
            pass

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass

    def do_GET(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else b""
        target = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(target.query).items()}
        if self.store._away:
            self.close_connection = True
            return
        document = json.loads(body) if body else None
        answer = self.store.call(self.command, target.path, query, document)
        if answer is None or self.store._away:
            self.close_connection = True
            return
        data = json.dumps(answer[1]).encode()
        self.send_response(answer[0])
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", str(self.store.era))
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_POST = do_DELETE = do_GET

    def log_message(self, *_args):
        pass
