"""The operator raises max_body_bytes while clients keep connections open.

Without TROUBLE the first configuration has the higher limit already.
"""

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import Endpoint  # noqa: E402
from harness import Fleet  # noqa: E402
from harness import make_configuration  # noqa: E402
from harness import make_request  # noqa: E402
from harness import read_message  # noqa: E402
from harness import run_case  # noqa: E402

LOW, HIGH = 1 << 20, 4 << 20
BODY = b"b" * (2 << 20)
CLIENTS = 24
APPLY_S = 2.5
# Long enough that only the second configuration may be in force.
WAIT_S = 2 * APPLY_S
ALLOWED, SHARE = 5, 500


def configure(version, body_bytes):
    """Make a configuration with a limit of bodies."""
    routes = [
        {"name": "r", "prefix": "/read/", "kind": "safe", "service": "s1"},
        {"name": "b", "prefix": "/book/", "kind": "unsafe", "service": "s1"},
    ]
    configuration = make_configuration(routes, ["s1"], version)
    configuration["limits"]["max_body_bytes"] = body_bytes
    return configuration


async def send(client, request_id, method, path, body=None):
    """Send one request on a client's connection; return the status."""
    reader, writer = client
    writer.write(
        make_request(
            method, path, request_id, [("X-Deadline-Ms", "4000")], body
        )
    )
    try:
        await writer.drain()
        response = await asyncio.wait_for(read_message(reader), 6.0)
    except (OSError, asyncio.TimeoutError) as error:
        return type(error).__name__
    return response.status if response else "closed"


async def play(record, trouble):
    """Send large bodies on kept and on new connections after the change."""
    fleet = Fleet({"ekm-a": "ernakulam"}, ["ekm-a", "ekm-a"])
    try:
        await fleet.start(
            configure(1, LOW if trouble else HIGH),
            [Endpoint(f"i-{n}", "s1", "ekm-a") for n in range(4)],
        )
        addresses = [g.find_address("front") for g in fleet.gateways]
        kept = [
            await asyncio.open_connection(*addresses[n % 2])
            for n in range(CLIENTS)
        ]
        for number, client in enumerate(kept):
            status = await send(client, f"first-{number}", "GET", "/read/a")
            record.write(f"first-{number} GET on its connection -> {status}")
        fleet.store.put("op/config", configure(2, HIGH))
        record.write(f"version 2 with max_body_bytes {HIGH} is acknowledged")
        await asyncio.sleep(WAIT_S)
        statuses = []
        for number, client in enumerate(kept):
            new = await asyncio.open_connection(*addresses[number % 2])
            for kind, used in (("kept", client), ("new", new)):
                request_id = f"{kind}-{number}"
                status = await send(used, request_id, "POST", "/book/a", BODY)
                record.write(
                    f"{request_id} POST of {len(BODY)} bytes on a {kind}"
                    f" connection -> {status}"
                )
                statuses.append(status)
                used[1].close()
        return judge(record, statuses)
    finally:
        await fleet.stop()


def judge(record, statuses):
    """Compare the refusals with the bound of the rule."""
    total = len(statuses) + CLIENTS
    refused = sum(s in (400, 401, 403, 404, 413, 431) for s in statuses)
    bound = ALLOWED + total / SHARE
    record.write(f"{refused} of {total} requests refused; bound {bound:.2f}")
    if refused <= bound:
        return []
    return [
        f"DENIED: {refused} of {total} proper requests were refused for good"
        f" later than config_apply; the bound is {bound:.2f}"
    ]


run_case(play, HERE / "record.txt")
