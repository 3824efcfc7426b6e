"""Tests of TLS between instances and with callers."""

from dataclasses import replace
import socket as plain_socket

import curio
import pytest
import trustme

from carawayvale.contracts import EntrySettings
from carawayvale.contracts import InvalidInput
from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links import load_authority
from carawayvale.links import load_tls
from carawayvale.machines import EntryInstance
from carawayvale.machines.tests.harness import KEY
from carawayvale.machines.tests.harness import LOOPBACK
from carawayvale.machines.tests.harness import run_with_harness
from carawayvale.standins import Caller
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """Write the files of an authority and a certificate."""
    folder = tmp_path_factory.mktemp("tls")
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    names = {
        "tls_certificate": folder / "chain.pem",
        "tls_key": folder / "key.pem",
        "tls_authority": folder / "authority.pem",
    }
    certificate.cert_chain_pems[0].write_to_path(names["tls_certificate"])
    certificate.private_key_pem.write_to_path(names["tls_key"])
    authority.cert_pem.write_to_path(names["tls_authority"])
    return {key: str(path) for key, path in names.items()}


def make_settings(**options):
    """Make the settings of an entry instance."""
    return EntrySettings(
        name="e2",
        region="zurich",
        domain="zurich-a",
        callers=LOOPBACK,
        peers=LOOPBACK,
        operators=LOOPBACK,
        store=LOOPBACK,
        **options,
    )


class TestLoadTls:
    def test_no_files_mean_no_tls(self):
        assert load_tls(make_settings()).server is None

    def test_every_missing_file_is_reported(self):
        with pytest.raises(InvalidInput) as caught:
            load_tls(make_settings(tls_key="x"))
        assert len(caught.value.findings) == 2

    def test_unreadable_file_is_reported(self, files):
        wrong = {**files, "tls_key": "/nonexistent"}
        with pytest.raises(InvalidInput, match="No such file"):
            load_tls(make_settings(**wrong))


class TestTruncatedStreams:
    # Guards against a part of a body passing for the whole (review/2).
    def test_tls_stream_without_its_end_is_not_complete(self, files):
        async def serve(sock):
            await sock.recv(65536)
            await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\na part of the body")
            # Closes the TCP connection only, as a reset or a cut does.
            sock._socket.shutdown(plain_socket.SHUT_RDWR)

        async def run():
            tls = load_tls(make_settings(**files))
            port = open_listener(LOOPBACK)
            listener = Listener(port, serve, ssl=tls.server)
            task = await curio.spawn(listener.run, daemon=True)
            pool = ConnectionPool(listener.address, tls.client)
            call = OutgoingCall("GET", "/", [(b"host", b"a")])
            with pytest.raises(ConnectionBroken):
                await pool.exchange(call, 5.0, 65536)
            await task.cancel()

        curio.run(run)


class TestTlsDeployment:
    def test_callers_and_peers_use_tls(self, files):
        async def check(harness):
            node = harness.entry.node
            settings = make_settings(seeds=(node.own_record.peers,), **files)
            settings = replace(settings, store=harness.entry.settings.store)
            second = EntryInstance(settings, KEY)
            task = await curio.spawn(second.run)
            async with curio.timeout_after(10):
                while len(node.membership.list_serving()) < 2:
                    await curio.sleep(0.05)
                while len(node.serving) < 2 or not second.node.is_ready:
                    await curio.sleep(0.05)
            assert list(second.peers.links) == ["e1"]
            context = load_authority(files["tls_authority"])
            for entry in (harness.entry, second):
                seeds = (entry.node.own_record.callers,)
                caller = Caller(seeds, "zurich", ssl=context)
                for _ in range(3):
                    result = await caller.call(ServiceCall("grids"))
                    assert result.outcome is CallOutcome.ANSWERED
            plain = await harness.make_caller().call(
                ServiceCall("grids", timeout_s=1.0)
            )
            assert plain.outcome is CallOutcome.NOT_RUN
            await task.cancel()

        run_with_harness(check, **files)
