"""A gateway gets SIGTERM; which of the requests that it accepts are lost?"""

import signal
import sys
import threading
import time

from common.deployment import CannotRun
from common.deployment import Deployment
from common.deployment import make_configuration
from common.deployment import make_headers
from common.endpoint import Endpoint
from common.http import ClientConnection
from common.record import has_trouble
from common.record import Record

SERVICE = "crew-desk"
ENDPOINTS = 12
SLOTS = 4
WORK_S = 3.0
DEADLINE_MS = 8000
TIMEOUT_S = 8.0

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
# A request that was sent by then may be cut in the last sixth of the grace
# period, if its endpoint is still at work.
EXCUSED_UNTIL_S = 3.0

# Clients with an open connection, and when they send their next request,
# counted from the signal.
CLIENTS = 44
FIRST_SEND_S = 1.0
SEND_INTERVAL_S = 0.05


class Caller(threading.Thread):
    """Client that sends one booking on a connection that it has kept.

    :param deployment: the deployment.
    :param number: its number, part of its request id.
    """

    def __init__(self, deployment, number):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.number = number
        self.request_id = f"book-{number}"
        self.connection = ClientConnection(deployment.find_address(0))
        self.go_s = None
        self.sent_s = self.ended_s = None
        self.answer = None
        self.begun = threading.Event()

    def warm_up(self):
        """Send a first request, which the connection outlives."""
        headers = make_headers(f"warm-{self.number}", DEADLINE_MS)
        self.connection.send("GET", "/slot/check", headers)
        answer = self.connection.read()
        if answer is None or answer.status != 200:
            raise CannotRun("a request before the signal was not served")

    def run(self):
        """Send the booking at its time, and read the answer."""
        self.begun.wait()
        time.sleep(max(0.0, self.go_s - time.monotonic()))
        record = self.deployment.record
        headers = make_headers(self.request_id, DEADLINE_MS)
        try:
            self.connection.send("POST", "/book/visit", headers, b"visit")
        except OSError:
            record.write("not_sent", id=self.request_id)
            return
        self.sent_s = time.monotonic()
        record.write("sent", id=self.request_id)
        self.answer = self.connection.read()
        self.ended_s = time.monotonic()
        status = self.answer.status if self.answer else "connection_ended"
        record.write("answered", id=self.request_id, status=status)


class QuickEndpoint(Endpoint):
    """Endpoint that answers look-ups at once, and works on bookings."""

    def run(self, sock, request):
        """Run a request; look-ups take no time."""
        self.work_s = WORK_S if request.first[0] == "POST" else 0.0
        return super().run(sock, request)


def find_loss(caller, signal_s, ran):
    """Tell why a request is lost; None if it is not."""
    if caller.sent_s is None:
        return None
    after_s = caller.sent_s - signal_s
    held_s = caller.ended_s - caller.sent_s
    if caller.answer is not None and caller.answer.complete:
        stamped = "x-server-stamp" in caller.answer.headers
        if stamped or caller.request_id not in ran:
            return None
    if held_s >= min(TIMEOUT_S, DEADLINE_MS / 1000):
        return None
    passed_on = caller.request_id in ran
    if not passed_on:
        return "read and not answered" if held_s > LOSS_SLACK_S else None
    cut_s = caller.ended_s - signal_s
    if after_s <= EXCUSED_UNTIL_S and cut_s >= GRACE_S * 5 / 6:
        return None
    return f"sent {after_s:.2f} s after the signal, cut at {cut_s:.2f} s"


def judge(record, endpoints, callers, signal_s):
    """Count the lost requests."""
    ran = {i for endpoint in endpoints for i in endpoint.runs}
    lost = 0
    for caller in callers:
        cause = find_loss(caller, signal_s, ran)
        if cause is not None:
            lost += 1
            record.write("LOST", id=caller.request_id, cause=repr(cause))
    sent = sum(caller.sent_s is not None for caller in callers)
    served = sum(
        c.answer is not None and c.answer.status == 200 for c in callers
    )
    summary = f"{sent} requests sent, {served} served, {lost} lost"
    record.write("summary", text=summary)
    print(summary)
    return 1 if lost else 0


def play(record):
    """Play the case; return the exit status."""
    deployment = Deployment(record, ("ekm-a", "ekm-a"))
    try:
        endpoints = [
            QuickEndpoint(
                f"{deployment.network}.1",
                f"i-{number:04x}",
                SERVICE,
                "ekm-a",
                record,
                slots=SLOTS,
            )
            for number in range(ENDPOINTS)
        ]
        common = {
            "service": SERVICE,
            "timeout": f"{TIMEOUT_S}s",
            "target_latency": "4s",
        }
        routes = [
            {"name": "book", "prefix": "/book/", "kind": "unsafe", **common},
            {"name": "slot", "prefix": "/slot/", "kind": "safe", **common},
        ]
        configuration = make_configuration(routes, [SERVICE])
        deployment.store.put("op/config", configuration)
        for endpoint in endpoints:
            endpoint.register(deployment.store)
        deployment.start_all()
        # All machines are in touch before the planned stop.
        time.sleep(6.0)
        callers = [Caller(deployment, number) for number in range(CLIENTS)]
        for caller in callers:
            caller.warm_up()
            caller.start()
        signal_s = time.monotonic()
        if has_trouble():
            deployment.signal(0, signal.SIGTERM)
        for caller in callers:
            caller.go_s = (
                signal_s + FIRST_SEND_S + SEND_INTERVAL_S * caller.number
            )
            caller.begun.set()
        for caller in callers:
            caller.join(20.0)
        return judge(record, endpoints, callers, signal_s)
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
