"""Benchmark of the control cost of an entry instance with simulated peers."""

from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
import tempfile
import threading
import time

import curio
from curio.io import Socket

from benchmarks.deployment import KEY
from benchmarks.deployment import RunningDeployment
from benchmarks.fleet import Fleet
from benchmarks.spread import read_cpu_time_s
from benchmarks.spread import read_memory_mb
from benchmarks.spread import read_sent_bytes
from carawayvale.contracts import Address
from carawayvale.links import accept_link
from carawayvale.links import BadMessage
from carawayvale.links import choose_neighbours
from carawayvale.links import Heartbeat
from carawayvale.links import LinkBroken
from carawayvale.links import Listener
from carawayvale.links import MemberRecord
from carawayvale.links import Members
from carawayvale.links import open_listener
from carawayvale.links import PeerLink
from carawayvale.links import RegionReport
from carawayvale.links import Reports
from carawayvale.links import ServiceHeadroom
from carawayvale.links import Updates

REAL_NAME = "n00"
REGION_COUNT = 4
SERVICE_COUNT = 4
ANY_LOOPBACK_PORT = Address("127.0.0.1", 0)
UNREACHABLE = Address("127.0.0.1", 9)
WARM_UP_S = 5.0
MEASURE_DURATION_S = 10.0
REPORT_INTERVAL_S = 1.0
HEADROOM = tuple(ServiceHeadroom(f"s{n}", 3, 8) for n in range(SERVICE_COUNT))


@dataclass(frozen=True)
class NodeFigures:
    """Control cost of one entry instance.

    :param members: number of instances in the deployment.
    :param links: number of its open peer links.
    :param core: processor time as a share of a core.
    :param sent: bytes a second that it sends, packet headers included.
    :param memory_mb: resident memory in megabytes.
    """

    members: int
    links: int
    core: float
    sent: float
    memory_mb: float


class FakePeer:
    """Simulated peer whose view always agrees with that of the real instance.

    :param record: its own member record.
    :param group: group of the simulated peers, with all member records.
    """

    def __init__(self, record: MemberRecord, group: "FakePeerGroup"):
        self.record = record
        self.group = group
        self.links: list[PeerLink] = []
        self.listener = Listener(open_listener(ANY_LOOPBACK_PORT), self.accept)

    async def accept(self, sock: Socket) -> None:
        """Serve a link that the real entry instance opens."""
        try:
            link = await accept_link(sock, KEY.encode(), self.record)
            self.links.append(link)
            await link.post(Members(tuple(self.group.records.values())))
            await link.run(self.respond)
        except (LinkBroken, BadMessage):
            return

    async def respond(self, link: PeerLink, message: object) -> None:
        """Respond to a heartbeat with the view hash of the sender."""
        if isinstance(message, Heartbeat):
            revision = message.revision
            incarnation = self.record.incarnation
            await link.post(
                Heartbeat(incarnation, message.view_hash, revision)
            )

    async def report(self) -> None:
        """Send headroom reports over all links.

        A bridge of another region reports that region; a peer of the
        real instance's own region relays the reports of all others.
        """
        names = [self.record.region]
        if self.record.region == "r0":
            names = [f"r{number}" for number in range(1, REGION_COUNT)]
        # Each region's headroom is measured once a second by one instance
        # and relayed by the others, so all reports of a second are equal.
        now_s = float(int(time.time()))
        regions = tuple(RegionReport(n, now_s, HEADROOM) for n in names)
        for link in self.links:
            await link.post(Reports(HEADROOM, regions, 0.0, ()))


class FakePeerGroup:
    """Simulated peers and the member records of all other instances.

    The peers run in a background thread.

    :param members: number of instances in the deployment.
    :param churn: changed member records a second.
    """

    def __init__(self, members: int, churn: float):
        self.churn = churn
        self.records: dict[str, MemberRecord] = {}
        for number in range(1, members):
            region = f"r{number % REGION_COUNT}"
            name = f"z{number:03}"
            self.records[name] = MemberRecord(
                name, region, f"{region}-a", UNREACHABLE, UNREACHABLE, 1
            )
        real_record = MemberRecord(
            REAL_NAME, "r0", "r0-a", UNREACHABLE, UNREACHABLE, 1
        )
        all_records = [real_record, *self.records.values()]
        self.peers = []
        for name in choose_neighbours(REAL_NAME, "r0", all_records):
            peer = FakePeer(self.records[name], self)
            address = peer.listener.address
            peer.record = replace(peer.record, peers=address)
            self.records[name] = peer.record
            self.peers.append(peer)
        self.stopping = False
        self.thread = threading.Thread(target=curio.run, args=(self.run,))

    @property
    def seed(self) -> Address:
        """Address of one simulated peer, used as the seed."""
        return self.peers[0].listener.address

    async def run(self) -> None:
        """Serve the links and send reports until stopped."""
        async with curio.TaskGroup(wait=None) as group:
            for peer in self.peers:
                await group.spawn(peer.listener.run)
            await group.spawn(self.change_records)
            while not self.stopping:
                await curio.sleep(REPORT_INTERVAL_S)
                for peer in self.peers:
                    await peer.report()

    async def change_records(self) -> None:
        """Simulate restarts of the instances that have no simulated peer."""
        peer_names = {peer.record.name for peer in self.peers}
        names = [name for name in self.records if name not in peer_names]
        restarts = 0
        while self.churn and names:
            await curio.sleep(1 / self.churn)
            restarts += 1
            name = names[restarts % len(names)]
            record = self.records[name]
            record = replace(record, incarnation=record.incarnation + 1)
            self.records[name] = record
            for link in self.peers[0].links:
                await link.post(Updates((record,)))


def measure_node(members: int, churn: float = 0.0) -> NodeFigures:
    """Measure one real entry instance among simulated peers.

    :param members: number of instances in the deployment.
    :param churn: changed member records a second.
    :returns: control cost of the instance.
    """
    with tempfile.TemporaryDirectory() as folder:
        example = Fleet(1, REGION_COUNT, SERVICE_COUNT).write(
            Path(folder) / "example"
        )
        deployment = RunningDeployment(Path(folder), example=example)
        group = FakePeerGroup(members, churn)
        path = deployment.settings[REAL_NAME]
        text = path.read_text().replace("seeds = ", f"seeds = {group.seed}")
        path.write_text(text)
        group.thread.start()
        try:
            deployment.start_platform()
            deployment.start_entry(REAL_NAME)
            deployment.wait_until(
                lambda: is_joined(deployment, members), "not joined"
            )
            time.sleep(WARM_UP_S)
            return measure_control_cost(deployment, members)
        finally:
            deployment.stop()
            group.stopping = True
            group.thread.join()


def is_joined(deployment: RunningDeployment, members: int) -> bool:
    """Check whether the real instance is ready and lists all members."""
    state = deployment.read_state(REAL_NAME)
    return bool(state) and state["ready"] and len(state["members"]) == members


def measure_control_cost(
    deployment: RunningDeployment, members: int
) -> NodeFigures:
    """Measure the control cost of the real entry instance."""
    pid = deployment.processes[REAL_NAME].popen.pid
    start_s, cpu_s = time.monotonic(), read_cpu_time_s(pid)
    sent = read_sent_bytes(deployment, REAL_NAME)
    time.sleep(MEASURE_DURATION_S)
    elapsed_s = time.monotonic() - start_s
    state = deployment.read_state(REAL_NAME)
    return NodeFigures(
        members,
        len(state["links"]),
        (read_cpu_time_s(pid) - cpu_s) / elapsed_s,
        (read_sent_bytes(deployment, REAL_NAME) - sent) / elapsed_s,
        read_memory_mb(pid),
    )


if __name__ == "__main__":
    for size in (20, 60, 130, 260, 510):
        print(measure_node(size), flush=True)
    print(measure_node(510, 2.0))
