"""Tests of the ports and the start of a deployment of real processes."""

import socket

import pytest

from benchmarks.deployment import PORT_PATTERN
from benchmarks.deployment import PORT_RANGE_SIZE
from benchmarks.deployment import ProcessEnded
from benchmarks.deployment import reserve_ports
from benchmarks.deployment import RunningDeployment


@pytest.fixture
def idle_deployment(tmp_path):
    """Prepare a deployment without a process."""
    deployment = RunningDeployment(tmp_path)
    yield deployment
    deployment.stop()


def list_ports(deployment):
    """List the ports in the document and the settings of a deployment."""
    paths = [deployment.document, *deployment.settings.values()]
    texts = [path.read_text() for path in paths]
    return {int(port) for text in texts for port in PORT_PATTERN.findall(text)}


class TestPorts:
    def test_ranges_of_two_runs_do_not_overlap(self):
        """Ports are free for a moment while a process restarts.

        Two runs then used the same ports, since each looked for free ones
        only when it began.
        """
        first, second = reserve_ports(), reserve_ports()
        try:
            distance = abs(first.first_port - second.first_port)
            assert distance >= PORT_RANGE_SIZE
        finally:
            first.release()
            second.release()

    def test_a_released_range_is_used_again(self):
        first = reserve_ports()
        first.release()
        second = reserve_ports()
        second.release()
        assert second.first_port == first.first_port

    def test_no_port_of_a_deployment_is_shared_with_another_run(
        self, idle_deployment
    ):
        first_port = idle_deployment.first_port
        own_ports = set(range(first_port, first_port + PORT_RANGE_SIZE))
        assert idle_deployment.find_endpoints(".*")
        assert list_ports(idle_deployment) - own_ports == set()

    @pytest.mark.parametrize("port", [6999, 7000 + PORT_RANGE_SIZE, 80])
    def test_port_outside_of_the_range_is_an_error(
        self, idle_deployment, port
    ):
        with pytest.raises(ValueError, match=f"port {port} is not"):
            idle_deployment.map_ports(f"address = 127.0.0.1:{port}")


class TestStart:
    def test_backends_that_cannot_start_fail_the_start(self, idle_deployment):
        """Callers were served by the backend servers of another run."""
        port = max(idle_deployment.find_endpoints(".*").values())
        with socket.socket() as other:
            other.bind(("127.0.0.1", port))
            other.listen()
            with pytest.raises(ProcessEnded, match="Address already in use"):
                idle_deployment.start_platform()

    def test_platform_serves_once_it_has_started(self, idle_deployment):
        idle_deployment.start_platform()
        ledgers = idle_deployment.read_ledgers()
        assert None not in ledgers.values()
