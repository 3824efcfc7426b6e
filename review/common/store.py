"""Stand-in of the platform's store."""

import base64
import json
import threading
import time
from urllib.parse import parse_qs

from common.http import encode_response
from common.http import Server

PAGE_ITEMS = 500
HISTORY_S = 20.0


class Store(Server):
    """Store in memory with a history, leases and watches.

    :param host: loopback address.
    """

    def __init__(self, host):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.lease_number = 0
        self.changed = threading.Condition()
        super().__init__(host)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value, lease=0):
        """Write an item.

        :param key: the key.
        :param value: bytes, or a table that is written as JSON.
        :param lease: number of the lease with which it ends.
        """
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            known = self.items.get(key)
            self.items[key] = row = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "created_at": known["created_at"] if known else self.revision,
                "lease": lease,
            }
            self._add_history(row)

    def remove(self, key):
        """Delete an item, if it is there."""
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                row = {"key": key, "rev": self.revision, "tombstone": True}
                self._add_history(row)

    def _add_history(self, row):
        now_s = time.monotonic()
        self.history.append((now_s, row))
        while now_s - self.history[0][0] > HISTORY_S:
            self.history.pop(0)
        self.changed.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                now_s = time.monotonic()
                for number, (_, ends_s) in list(self.leases.items()):
                    if now_s >= ends_s:
                        self._end_lease(number)

    def _end_lease(self, number):
        if self.leases.pop(number, None) is not None:
            rows = list(self.items.values())
            for key in [row["key"] for row in rows if row["lease"] == number]:
                self.remove(key)

    def answer(self, sock, request):
        """Answer one call."""
        query = {k: v[-1] for k, v in parse_qs(request.query).items()}
        name, _, argument = request.path.strip("/").partition("/")
        call = getattr(self, "_call_" + name.replace("-", "_"), None)
        if call is None:
            status, content = 404, {}
        else:
            body = json.loads(request.body) if request.body else {}
            status, content = call(query, argument, body)
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        data = json.dumps(content).encode()
        sock.sendall(encode_response(status, headers, data))

    def _call_kv_key(self, query, argument, body):
        with self.changed:
            row = self.items.get(query["key"])
            if row is None:
                return 404, {"store_revision": self.revision}
            return 200, {**row, "store_revision": self.revision}

    def _call_kv_range(self, query, argument, body):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        with self.changed:
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {
                "items": page,
                "has_more": more,
                "store_revision": self.revision,
            }

    def _call_kv_watch(self, query, argument, body):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                oldest = self.history[0][1]["rev"] if self.history else 0
                if after > self.revision or after < oldest - 1:
                    return 410, {}
                events = [
                    row
                    for _, row in self.history
                    if row["rev"] > after and row["key"].startswith(prefix)
                ]
                wait_s = until_s - time.monotonic()
                if events or wait_s <= 0:
                    return 200, {
                        "events": events,
                        "store_revision": self.revision,
                    }
                self.changed.wait(wait_s)

    def _call_kv_lease(self, query, argument, body):
        ttl_s = parse_time(body["ttl_time"])
        with self.changed:
            self.lease_number += 1
            self.leases[self.lease_number] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {
                "lease": self.lease_number,
                "ttl_time": body["ttl_time"],
            }

    def _call_kv_keep(self, query, argument, body):
        with self.changed:
            lease = self.leases.get(int(argument))
            if lease is None:
                return 404, {}
            ttl_s = lease[0]
            self.leases[int(argument)] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_time": f"{int(ttl_s * 1000)}ms"}

    def _call_kv_lease_end(self, query, argument, body):
        with self.changed:
            known = int(argument) in self.leases
            self._end_lease(int(argument))
            return (200 if known else 404), {}

    def _call_kv_txn(self, query, argument, body):
        with self.changed:
            for row in body.get("expected", []):
                known = self.items.get(row["key"])
                if (known["rev"] if known else 0) != row["rev"]:
                    return 412, {"items": [known] if known else []}
            leases = {row.get("lease", 0) for row in body.get("writes", [])}
            if leases - {0} - self.leases.keys():
                return 404, {}
            for row in body.get("writes", []):
                value = base64.b64decode(row["value"])
                self.put(row["key"], value, row.get("lease", 0))
            for key in body.get("deletes", []):
                self.remove(key)
            return 200, {"rev": self.revision}


def parse_time(text):
    """Parse a time such as 1500ms or 2.5s into seconds."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])
