"""One answer of an endpoint has no end; do the other requests get answers?"""

import sys
import threading
import time

from common.deployment import CannotRun
from common.deployment import Deployment
from common.deployment import get_status
from common.deployment import make_configuration
from common.deployment import make_headers
from common.endpoint import Endpoint
from common.http import ClientConnection
from common.record import has_trouble
from common.record import Record

SERVICE = "crew-desk"
ENDPOINTS = 6
WORK_S = 0.1

# The endless answer consists of short lines, each sent as a chunk.
LINE = b"row\n"
CHUNK = b"%x\r\n%s\r\n" % (len(LINE), LINE)
CHUNKS_AT_ONCE = 10_000

CLIENTS = 24
DEADLINE_MS = 4000
TIMEOUT_S = 2.0
BEFORE_S = 4.0
PLAY_S = 40.0
PAUSE_S = 0.1

# Of the requests that are unanswered at their route's timeout, so many, and
# such a share, may have no answer this much later.
ANSWER_SLACK_S = 0.5
UNANSWERED_ALLOWED = 7
UNANSWERED_SHARE_ALLOWED = 0.25


class FaultyEndpoint(Endpoint):
    """Endpoint whose next answer has no end, once it is told so."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.faults = 0

    def run(self, sock, request):
        """Run a request, and answer it."""
        with self.lock:
            faulty = self.faults > 0
            self.faults -= faulty
        if not faulty:
            return super().run(sock, request)
        self.begin(request)
        self.record.write("endless", endpoint=self.name, id=request.request_id)
        headers = self.list_headers(request, True)
        headers.append(("Transfer-Encoding", "chunked"))
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers), "", ""]
        sock.sendall("\r\n".join(lines).encode())
        sent = 0
        try:
            while True:
                sock.sendall(CHUNK * CHUNKS_AT_ONCE)
                sent += len(CHUNK) * CHUNKS_AT_ONCE
        except OSError:
            self.record.write("closed", id=request.request_id, sent=sent)
        return False


class Caller(threading.Thread):
    """Client that waits for each answer until its deadline.

    :param deployment: the deployment.
    :param number: its number, part of its request ids.
    :param stopped: set at the end of the traffic.
    """

    def __init__(self, deployment, number, stopped):
        super().__init__(daemon=True)
        self.deployment, self.number, self.stopped = (
            deployment,
            number,
            stopped,
        )
        self.held = []

    def run(self):
        """Send requests, each with an id of its own."""
        connection = None
        count = 0
        while not self.stopped.is_set():
            count += 1
            connection = self._try(connection, f"{self.number}-{count}")
            time.sleep(PAUSE_S)
        if connection is not None:
            connection.close()

    def _try(self, connection, request_id):
        """Send one request; return the connection if it can be used again."""
        record = self.deployment.record
        address = self.deployment.find_address(self.number % 2)
        try:
            connection = connection or ClientConnection(
                address, DEADLINE_MS / 1000
            )
            headers = make_headers(request_id, DEADLINE_MS)
            connection.send("POST", "/book/visit", headers, b"visit")
        except OSError:
            record.write("not_sent", id=request_id)
            return None
        sent_s = time.monotonic()
        record.write("sent", id=request_id)
        answer = connection.read()
        held_s = time.monotonic() - sent_s
        status = answer.status if answer else "none"
        record.write(
            "answered", id=request_id, status=status, after=f"{held_s:.2f}"
        )
        self.held.append((request_id, answer is not None, held_s))
        if answer is None or answer.headers.get("connection") == "close":
            connection.close()
            return None
        return connection


class Prober(threading.Thread):
    """Platform that asks each gateway once a second whether it is ready."""

    def __init__(self, deployment, stopped):
        super().__init__(daemon=True)
        self.deployment, self.stopped = deployment, stopped
        self.silent = 0

    def run(self):
        """Ask until the end of the traffic."""
        while not self.stopped.wait(1.0):
            for index in range(len(self.deployment.zones)):
                host = self.deployment.find_host(index)
                address = f"{host}:{self.deployment.ports[1]}"
                status = get_status(address, "/ready")
                self.silent += status is None
                self.deployment.record.write(
                    "ready", gateway=index, status=status
                )


def judge(record, callers, prober):
    """Count the requests that had no answer after their route's timeout."""
    requests = [entry for caller in callers for entry in caller.held]
    overdue = [entry for entry in requests if entry[2] > TIMEOUT_S]
    late = [
        request_id
        for request_id, answered, held_s in overdue
        if held_s > TIMEOUT_S + ANSWER_SLACK_S
    ]
    for request_id in late:
        record.write("NO_ANSWER", id=request_id)
    summary = (
        f"{len(requests)} requests, {len(overdue)} unanswered at the "
        f"timeout, {len(late)} of them {ANSWER_SLACK_S:g} s later; "
        f"{prober.silent} questions for /ready without an answer"
    )
    record.write("summary", text=summary)
    print(summary)
    too_many = len(late) > UNANSWERED_ALLOWED
    too_large = len(late) > UNANSWERED_SHARE_ALLOWED * len(overdue)
    return 1 if too_many and too_large else 0


def play(record):
    """Play the case; return the exit status."""
    deployment = Deployment(record, ("ekm-a", "ekm-a"))
    try:
        endpoints = [
            FaultyEndpoint(
                f"{deployment.network}.1",
                f"i-{number:04x}",
                SERVICE,
                "ekm-a",
                record,
                work_s=WORK_S,
            )
            for number in range(ENDPOINTS)
        ]
        route = {
            "name": "book",
            "prefix": "/book/",
            "kind": "unsafe",
            "service": SERVICE,
            "timeout": f"{TIMEOUT_S}s",
            "target_latency": "1s",
        }
        configuration = make_configuration([route], [SERVICE])
        deployment.store.put("op/config", configuration)
        for endpoint in endpoints:
            endpoint.register(deployment.store)
        deployment.start_all()
        time.sleep(5.0)
        stopped = threading.Event()
        prober = Prober(deployment, stopped)
        prober.start()
        callers = [Caller(deployment, n, stopped) for n in range(CLIENTS)]
        for caller in callers:
            caller.start()
        time.sleep(BEFORE_S)
        if has_trouble():
            endpoints[0].faults = 1
        time.sleep(PLAY_S)
        stopped.set()
        for caller in callers:
            caller.join(DEADLINE_MS / 1000 + 2.0)
        if not any(answered for c in callers for _, answered, _ in c.held):
            raise CannotRun("no request was answered")
        return judge(record, callers, prober)
    finally:
        deployment.close()


def main():
    """Run the script."""
    record = Record(".")
    try:
        return play(record)
    except (CannotRun, OSError) as error:
        print(f"could not run: {error}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
