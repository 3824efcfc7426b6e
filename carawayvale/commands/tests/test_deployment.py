"""Tests of the ports that a deployment of real processes uses."""

from benchmarks.deployment import PORT_RANGE_SIZE
from benchmarks.deployment import reserve_ports


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
