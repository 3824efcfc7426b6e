"""Stand-in of an endpoint."""

import select
import threading
import time

from common.http import encode_response
from common.http import Server

HEARTBEAT_S = 1.5


class Endpoint(Server):
    """Sound endpoint; subclasses replace what a disruption changes.

    :param host: loopback address.
    :param name: its id.
    :param service: its service.
    :param zone: its zone.
    :param record: the record of the script.
    :param work_s: time that a request takes.
    :param slots: number of requests that it runs at once.
    """

    def __init__(
        self, host, name, service, zone, record, work_s=0.1, slots=3, **kwargs
    ):
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.runs = []
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        super().__init__(host, **kwargs)

    def register(self, store):
        """Write its entry, now and with each heartbeat."""
        self._write_entry(store)

        def beat():
            while True:
                time.sleep(HEARTBEAT_S)
                self._write_entry(store)

        threading.Thread(target=beat, daemon=True).start()

    def _write_entry(self, store):
        self.sequence += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {"state": "ready", "seq": self.sequence, "cold_left": "0ms"}
        store.put(
            f"servers/{self.name}",
            {
                "address": self.address,
                "born": self.born,
                "info": info,
                "status": status,
            },
        )

    def answer(self, sock, request):
        """Answer a health check or a request."""
        if request.path == "/health":
            headers = [("X-Instance-Id", self.name)]
            sock.sendall(encode_response(200, headers))
            return True
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            headers = [
                ("X-Instance-Id", self.name),
                ("X-Request-Id", request.request_id),
            ]
            sock.sendall(encode_response(421, headers))
            return True
        with self.lock:
            free = self.running < self.slots
            self.running += free
        if not free:
            return self.refuse(sock, request)
        try:
            return self.run(sock, request)
        finally:
            with self.lock:
                self.running -= 1

    def refuse(self, sock, request):
        """Say that a request was not run."""
        self.record.write("refused", endpoint=self.name, id=request.request_id)
        sock.sendall(encode_response(503, self.list_headers(request, False)))
        return True

    def run(self, sock, request):
        """Run a request and answer it."""
        self.begin(request)
        if not self.work(sock):
            self.record.write(
                "dropped", endpoint=self.name, id=request.request_id
            )
            return False
        body = self.make_body(request)
        sock.sendall(
            encode_response(200, self.list_headers(request, True), body)
        )
        self.record.write("ran", endpoint=self.name, id=request.request_id)
        return True

    def begin(self, request):
        """Record that a request begins to run."""
        self.runs.append(request.request_id)
        self.record.write("runs", endpoint=self.name, id=request.request_id)

    def work(self, sock):
        """Work on a request; return False if its connection was closed."""
        readable, _, _ = select.select([sock], [], [], self.work_s)
        return not readable

    def list_headers(self, request, ran):
        """List the headers of an answer."""
        headers = [("X-Request-Id", request.request_id)]
        if ran:
            headers.append(("X-Server-Stamp", f"stamp-{self.name}"))
        else:
            headers.append(("X-Not-Executed", "1"))
        return headers

    def make_body(self, request):
        """Make the body of the answer to a request."""
        return f"answer to {request.request_id}".encode()
