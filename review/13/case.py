"""A client lists X-Tenant in its Connection header."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

from deployment import call  # noqa: E402
from deployment import deploy  # noqa: E402
from deployment import has_trouble  # noqa: E402
from deployment import HOST  # noqa: E402
from deployment import make_configuration  # noqa: E402
from deployment import run_case  # noqa: E402

REQUESTS = 20
TENANT, KEY = "transportes-sur", "key-of-transportes-sur"


def make_request(number: int, kind: str) -> bytes:
    """Make a proper request with the tenant's key."""
    method = "GET" if kind == "read" else "POST"
    lines = [
        f"{method} /{kind}/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: r-{kind}-{number}",
        "X-Deadline-Ms: 3000",
        f"Authorization: Token {KEY}",
        "Content-Length: 0",
    ]
    if has_trouble():
        lines.append("Connection: X-Tenant")
    return "\r\n".join([*lines, "", ""]).encode()


async def play(record) -> bool:
    """Send requests and check which tenant the endpoints were told."""
    tenants = {
        "columns": ["name", "api_keys"],
        "rows": [[TENANT, [KEY]], ["otro", ["key-of-otro"]]],
    }
    routes = [("/read/", "safe"), ("/book/", "unsafe")]
    configuration = make_configuration(1, routes, tenants=tenants)
    async with deploy(configuration, gateways=2) as deployment:
        answered = 0
        for number in range(REQUESTS):
            for kind in ("read", "book"):
                gateway = deployment.gateways[number % 2]
                request = make_request(number, kind)
                answer = await call(
                    gateway.find_address("front"), request, 4.0
                )
                answered += answer.status == 200
                record.write(f"r-{kind}-{number} {gateway.name}: {answer}")
        await asyncio.sleep(0.2)
        wrong = 0
        for run in deployment.runs:
            tenant = run.request.find("x-tenant")
            wrong += tenant != TENANT
            request_id = run.request.find("x-request-id")
            record.write(
                f"{run.endpoint} runs {request_id}, X-Tenant {tenant}"
            )
    record.write(f"answered 200: {answered} of {2 * REQUESTS}")
    record.write(f"run with another tenant than the key's: {wrong}")
    if not deployment.runs:
        raise RuntimeError("no request ran")
    return wrong == 0


run_case(__file__, play)
