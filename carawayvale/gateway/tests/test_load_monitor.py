"""Tests of the log line and the metrics about the load of an instance."""

import curio
from loguru import logger

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.capacity.loop_lag import LoopLag
from carawayvale.capacity.own_delay import OwnDelay
from carawayvale.gateway.load_monitor import LoadMonitor
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.tests.fleet import open_fleet


class TestLoadLine:
    def test_line_has_the_worst_queue_and_the_steps_since_the_last(self):
        observer, link = RequestObserver(), LinkMeter(8.0)
        monitor = LoadMonitor(observer, OwnDelay(link, LoopLag()))
        link.record_sent(400_000, 1.0)
        monitor.sample(0.12, 1.0)
        monitor.sample(0.0, 1.3)
        observer.count_hop("grids")
        observer.count_unserved("grids", 1, "full")
        lines = []
        handle = logger.add(lines.append, format="{message}")
        try:
            monitor._log(1.3)
            monitor._log(1.4)
        finally:
            logger.remove(handle)
        first, second = [line for line in lines if "instance_load" in line]
        for part in ("loop_lag_ms=120", "link_queue_ms=400", "hops=1"):
            assert part in first
        assert "hops=0" in second
        assert observer.metrics.gauges["link_queue_s", ""] == 0.0


class TestUnservedRequests:
    def test_refusal_is_counted_by_kind_and_reason(self):
        async def main():
            async with open_fleet(1, endpoints=()) as fleet:
                daemon = fleet.daemons[0]
                response = await fleet.call(daemon)
                assert response.head.status == 503
                counters = daemon.node.observer.metrics.counters
                kinds = [k for n, k in counters if n == "unserved"]
                assert [kind.split("/")[2] for kind in kinds] == [
                    "no_endpoint"
                ]

        curio.run(main)
