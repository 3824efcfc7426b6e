"""An endpoint repeats a refusal late; does a booking run twice?"""

import random
import sys
import threading
import time

from common.deployment import CannotRun
from common.deployment import Deployment
from common.deployment import make_configuration
from common.deployment import make_headers
from common.endpoint import Endpoint
from common.http import ClientConnection
from common.http import encode_response
from common.record import has_trouble
from common.record import Record

SERVICE = "crew-desk"
ENDPOINTS = 4
CLIENTS = 10
PLAY_S = 80.0
DEADLINE_MS = 4000
WORK_S = 0.05

# Share of the requests that an endpoint refuses, as if other callers held
# its slots at that moment.
REFUSED_SHARE = 0.1

# Half of the endpoints send a second copy of this share of their answers,
# in every other window of this length.
REPEATED_SHARE = 0.03
WINDOW_S = 5.0


class RepeatingEndpoint(Endpoint):
    """Endpoint that is full now and then, and repeats some answers late.

    The second copy comes when the next answer is expected on the
    connection: after the next request, and before its own answer.
    """

    def __init__(self, *args, repeats, **kwargs):
        super().__init__(*args, **kwargs)
        self.repeats = repeats
        self.random = random.Random(self.name)
        self.late_copies = {}

    def answer(self, sock, request):
        """Send the late copy, if there is one, before the answer."""
        copy = self.late_copies.pop(sock, None)
        if copy is not None:
            self.record.write(
                "late_copy", endpoint=self.name, before=request.request_id
            )
            sock.sendall(copy)
        return super().answer(sock, request)

    def run(self, sock, request):
        """Run a request, or refuse it."""
        if self.random.random() < REFUSED_SHARE:
            return self.refuse(sock, request)
        sent = super().run(sock, request)
        if sent:
            self._repeat(
                sock,
                encode_response(
                    200,
                    self.list_headers(request, True),
                    self.make_body(request),
                ),
            )
        return sent

    def refuse(self, sock, request):
        """Refuse a request."""
        sent = super().refuse(sock, request)
        headers = self.list_headers(request, False)
        self._repeat(sock, encode_response(503, headers))
        return sent

    def _repeat(self, sock, answer):
        """Keep a copy of an answer, if it is one of those."""
        in_window = int(time.monotonic() / WINDOW_S) % 2 == 0
        if self.repeats and in_window:
            if self.random.random() < REPEATED_SHARE:
                self.late_copies[sock] = answer


class Caller(threading.Thread):
    """Client that sends bookings one after the other.

    :param deployment: the deployment.
    :param number: its number, part of its request ids.
    :param until_s: end of its traffic.
    """

    def __init__(self, deployment, number, until_s):
        super().__init__(daemon=True)
        self.deployment, self.number, self.until_s = (
            deployment,
            number,
            until_s,
        )
        self.answers = {}

    def run(self):
        """Send requests, each with an id of its own."""
        address = self.deployment.find_address(self.number % 2)
        connection = None
        count = 0
        while time.monotonic() < self.until_s:
            connection = connection or ClientConnection(address)
            count += 1
            request_id = f"{self.number}-{count}"
            record = self.deployment.record
            record.write("sent", id=request_id)
            connection.send(
                "POST",
                "/book/visit",
                make_headers(request_id, DEADLINE_MS),
                b"visit " + request_id.encode(),
            )
            answer = connection.read()
            status = answer.status if answer else None
            record.write("answered", id=request_id, status=status)
            self.answers[request_id] = status
            if answer is None or answer.headers.get("connection") == "close":
                connection.close()
                connection = None


def judge(record, endpoints, callers):
    """Count the requests that ran twice, or were refused and ran."""
    runs = [i for endpoint in endpoints for i in endpoint.runs]
    twice = sorted({i for i in runs if runs.count(i) > 1})
    ran = set(runs)
    refused = [
        i
        for caller in callers
        for i, status in caller.answers.items()
        if status in (408, 421, 429, 503) and i in ran
    ]
    for request_id in twice:
        record.write("RAN_TWICE", id=request_id)
    for request_id in refused:
        record.write("REFUSED_BUT_RAN", id=request_id)
    sent = sum(len(caller.answers) for caller in callers)
    summary = (
        f"{sent} requests, {len(twice)} ran twice, "
        f"{len(refused)} were refused and ran"
    )
    record.write("summary", text=summary)
    print(summary)
    return 1 if twice or refused else 0


def play(record):
    """Play the case; return the exit status."""
    deployment = Deployment(record, ("ekm-a", "ekm-a"))
    try:
        endpoints = [
            RepeatingEndpoint(
                f"{deployment.network}.1",
                f"i-{number:04x}",
                SERVICE,
                "ekm-a",
                record,
                work_s=WORK_S,
                slots=3,
                repeats=has_trouble() and number % 2 == 0,
            )
            for number in range(ENDPOINTS)
        ]
        route = {
            "name": "book",
            "prefix": "/book/",
            "kind": "unsafe",
            "service": SERVICE,
            "timeout": "4s",
            "target_latency": "600ms",
        }
        configuration = make_configuration([route], [SERVICE])
        deployment.store.put("op/config", configuration)
        for endpoint in endpoints:
            endpoint.register(deployment.store)
        deployment.start_all()
        time.sleep(3.0)
        until_s = time.monotonic() + PLAY_S
        callers = [Caller(deployment, n, until_s) for n in range(CLIENTS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(PLAY_S + 10.0)
        if sum(len(caller.answers) for caller in callers) < 100:
            raise CannotRun("fewer than 100 requests were answered")
        return judge(record, endpoints, callers)
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
