"""An endpoint falls silent in the middle of answers that have no length."""

import select
import socket
import sys
import threading
import time

from common.deployment import CannotRun
from common.deployment import Deployment
from common.deployment import make_configuration
from common.deployment import make_headers
from common.endpoint import Endpoint
from common.http import ClientConnection
from common.http import reset
from common.record import has_trouble
from common.record import Record

SERVICE = "ward-report"
ENDPOINTS = 8
CLIENTS = 28
DEADLINE_MS = 8000

# An endpoint is down for DARK_S, one of eight at a time.
CRASHES = 4
DARK_S = 4.0
PAUSE_S = 6.0

# An answer is sent in pieces while the endpoint produces it.
PIECES = 4
PIECE_BYTES = 500
PIECE_S = 0.05

# Every so many answers have no length.
UNFRAMED_EVERY = 2

BACKLOG = 8


class StreamingEndpoint(Endpoint):
    """Endpoint of which some answers have no length, and end by their close.

    It can fall dark: open connections say nothing more, and new ones hang.
    """

    def __init__(self, *args, **kwargs):
        self.dark = threading.Event()
        self.fillers = []
        super().__init__(*args, backlog=BACKLOG, **kwargs)

    def answer(self, sock, request):
        """Answer a request, unless the endpoint is dark."""
        if self.dark.is_set():
            return self._stay_silent(sock, request, None, 0)
        return super().answer(sock, request)

    def run(self, sock, request):
        """Send an answer piece by piece."""
        self.begin(request)
        return self._send_pieces(sock, request)

    def _send_pieces(self, sock, request):
        body = make_body(request.request_id)
        framed = len(self.runs) % UNFRAMED_EVERY > 0
        framing = (
            ("Content-Length", len(body))
            if framed
            else ("Connection", "close")
        )
        headers = [*self.list_headers(request, True), framing]
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers), "", ""]
        sock.sendall("\r\n".join(lines).encode())
        for start in range(0, len(body), PIECE_BYTES):
            readable, _, _ = select.select([sock], [], [], PIECE_S)
            if readable:
                self.record.write(
                    "dropped", endpoint=self.name, id=request.request_id
                )
                return False
            if self.dark.is_set():
                return self._stay_silent(sock, request, framed, start)
            sock.sendall(body[start : start + PIECE_BYTES])
        self.record.write("ran", endpoint=self.name, id=request.request_id)
        return framed

    def _stay_silent(self, sock, request, framed, sent):
        """Send nothing until the endpoint is back; then reset."""
        self.record.write(
            "silent",
            endpoint=self.name,
            id=request.request_id,
            framed=framed,
            sent=sent,
        )
        while self.dark.is_set():
            time.sleep(0.05)
        # A connection of the process that has ended is reset.
        reset(sock)
        return False

    def fall_dark(self):
        """Lose power: new connections hang, open ones are silent."""
        self.record.write("dark", endpoint=self.name)
        self.accepting.clear()
        self.dark.set()
        # With a full queue of new connections the kernel ignores others.
        host, _, port = self.address.rpartition(":")
        for _ in range(BACKLOG + 4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)

    def come_back(self, store):
        """Start again, under the same id."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.dark.clear()
        self.accepting.set()
        self._write_entry(store)
        self.record.write("back", endpoint=self.name)

    def _write_entry(self, store):
        if not self.dark.is_set():
            super()._write_entry(store)


def make_body(request_id):
    """Make the whole body of the answer to a request."""
    line = f"answer to {request_id};".encode()
    size = PIECES * PIECE_BYTES
    return (line * (size // len(line) + 1))[:size]


class Caller(threading.Thread):
    """Client that reads summaries one after the other.

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
        self.answers = {}

    def run(self):
        """Send requests, each with an id of its own."""
        address = self.deployment.find_address(self.number % 2)
        connection = None
        count = 0
        while not self.stopped.is_set():
            connection = connection or ClientConnection(address)
            count += 1
            request_id = f"{self.number}-{count}"
            self.deployment.record.write("sent", id=request_id)
            headers = make_headers(request_id, DEADLINE_MS)
            connection.send("GET", "/ward/summary", headers)
            answer = connection.read()
            self.answers[request_id] = answer
            self.deployment.record.write(
                "answered",
                id=request_id,
                status=answer.status if answer else None,
                bytes=len(answer.body) if answer else None,
            )
            if answer is None or answer.headers.get("connection") == "close":
                connection.close()
                connection = None


def is_mixed(request_id, answer):
    """Tell whether an answer looks complete, but is not the whole body."""
    if answer is None or not answer.complete or answer.status != 200:
        return False
    stamped = "x-server-stamp" in answer.headers
    return not stamped or answer.body != make_body(request_id)


def judge(record, callers):
    """Count the successes with a body that is not the endpoint's."""
    answers = [pair for caller in callers for pair in caller.answers.items()]
    mixed = [i for i, answer in answers if is_mixed(i, answer)]
    for request_id in mixed:
        record.write("INCOMPLETE_BODY", id=request_id)
    served = sum(a is not None and a.status == 200 for _, a in answers)
    summary = (
        f"{len(answers)} requests, {served} successes, "
        f"{len(mixed)} of them with a part of the body"
    )
    record.write("summary", text=summary)
    print(summary)
    return 1 if mixed else 0


def crash_in_turn(endpoints, store):
    """Let one endpoint after the other fall dark for a while."""
    for number in range(CRASHES):
        endpoint = endpoints[number % len(endpoints)]
        if has_trouble():
            endpoint.fall_dark()
        time.sleep(DARK_S)
        if has_trouble():
            endpoint.come_back(store)
        time.sleep(PAUSE_S)


def play(record):
    """Play the case; return the exit status."""
    deployment = Deployment(record, ("ekm-a", "ekm-a"))
    try:
        endpoints = [
            StreamingEndpoint(
                f"{deployment.network}.1",
                f"i-{number:04x}",
                SERVICE,
                "ekm-a",
                record,
            )
            for number in range(ENDPOINTS)
        ]
        route = {
            "name": "ward",
            "prefix": "/ward/",
            "kind": "safe",
            "service": SERVICE,
            "timeout": "8s",
            "target_latency": "1s",
        }
        configuration = make_configuration([route], [SERVICE])
        deployment.store.put("op/config", configuration)
        for endpoint in endpoints:
            endpoint.register(deployment.store)
        deployment.start_all()
        time.sleep(3.0)
        stopped = threading.Event()
        callers = [Caller(deployment, n, stopped) for n in range(CLIENTS)]
        for caller in callers:
            caller.start()
        time.sleep(PAUSE_S)
        crash_in_turn(endpoints, deployment.store)
        stopped.set()
        for caller in callers:
            caller.join(12.0)
        if sum(len(caller.answers) for caller in callers) < 100:
            raise CannotRun("fewer than 100 requests were answered")
        return judge(record, callers)
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
