"""Tests of the ports for look-ups, readiness checks and metrics."""

import curio
import pytest

from carawayvale.gateway.tests.fleet import open_fleet
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall

BODY_BYTES = 8 << 20
PATHS = {"lookups": "/resolve", "readiness": "/ready", "metrics": "/state"}


class TestLargeBodies:
    @pytest.mark.parametrize("port", PATHS)
    def test_body_is_refused_before_it_takes_memory(self, port):
        async def main():
            async with open_fleet(1) as fleet:
                address = getattr(fleet.daemons[0].settings, port)
                pool = ConnectionPool(address)
                body = b"x" * BODY_BYTES
                call = OutgoingCall(
                    "POST", PATHS[port], [(b"host", b"a")], body
                )
                try:
                    response = await pool.exchange(call, 5.0, 1 << 16)
                except ConnectionError:
                    return None
                finally:
                    await pool.close()
                return response.head.status

        assert curio.run(main) in (None, 413)

    def test_ordinary_look_up_is_answered(self):
        async def main():
            async with open_fleet(1) as fleet:
                pool = ConnectionPool(fleet.daemons[0].settings.lookups)
                call = OutgoingCall("GET", "/resolve", [(b"host", b"a")])
                response = await pool.exchange(call, 5.0, 1 << 16)
                await pool.close()
                return response.head.status

        assert curio.run(main) == 200
