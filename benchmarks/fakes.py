"""Many light fake peers around one real entry process."""

from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
import tempfile
import threading
import time

import curio
from curio.io import Socket

from benchmarks.deployment import Deployment
from benchmarks.deployment import KEY
from benchmarks.fleet import Fleet
from benchmarks.spread import read_cpu_s
from benchmarks.spread import read_memory_mb
from benchmarks.spread import read_sent
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

REAL = "n00"
REGIONS = 4
SERVICES = 4
LOOPBACK = Address("127.0.0.1", 0)
NOWHERE = Address("127.0.0.1", 9)
SETTLE_S = 5.0
MEASURE_S = 10.0
REPORT_S = 1.0
HEADROOM = tuple(ServiceHeadroom(f"s{n}", 3, 8) for n in range(SERVICES))


@dataclass(frozen=True)
class NodeFigures:
    """Control cost of one node.

    :param members: size of the deployment.
    :param links: links that it holds.
    :param core: share of a core.
    :param sent: bytes a second with packet headers.
    :param memory_mb: resident memory.
    """

    members: int
    links: int
    core: float
    sent: float
    memory_mb: float


class FakePeer:
    """Answers as a peer whose view always agrees.

    :param record: what it says of itself.
    :param world: all records.
    """

    def __init__(self, record: MemberRecord, world: "FakeWorld"):
        self.record = record
        self.world = world
        self.links: list[PeerLink] = []
        self.listener = Listener(open_listener(LOOPBACK), self.accept)

    async def accept(self, sock: Socket) -> None:
        """Serve the link that the real entry opens."""
        try:
            link = await accept_link(sock, KEY.encode(), self.record)
            self.links.append(link)
            await link.post(Members(tuple(self.world.records.values())))
            await link.run(self.answer)
        except (LinkBroken, BadMessage):
            return

    async def answer(self, link: PeerLink, message: object) -> None:
        """Answer a heartbeat with the same view."""
        if isinstance(message, Heartbeat):
            revision = message.revision
            mine = self.record.incarnation
            await link.post(Heartbeat(mine, message.view_hash, revision))

    async def report(self) -> None:
        """Send headroom; bridges report their region, others relay all."""
        names = [self.record.region]
        if self.record.region == "r0":
            names = [f"r{number}" for number in range(1, REGIONS)]
        # One issuer measures once a second; the others relay it.
        now_s = float(int(time.time()))
        regions = tuple(RegionReport(n, now_s, HEADROOM) for n in names)
        for link in self.links:
            await link.post(Reports(HEADROOM, regions, 0.0, ()))


class FakeWorld:
    """The fake peers and the records of all other instances.

    :param members: size of the deployment.
    :param churn: changed records a second.
    """

    def __init__(self, members: int, churn: float):
        self.churn = churn
        self.records: dict[str, MemberRecord] = {}
        for number in range(1, members):
            region = f"r{number % REGIONS}"
            name = f"z{number:03}"
            self.records[name] = MemberRecord(
                name, region, f"{region}-a", NOWHERE, NOWHERE, 1
            )
        me = MemberRecord(REAL, "r0", "r0-a", NOWHERE, NOWHERE, 1)
        listed = [me, *self.records.values()]
        self.fakes = []
        for name in choose_neighbours(REAL, "r0", listed):
            fake = FakePeer(self.records[name], self)
            address = fake.listener.address
            fake.record = replace(fake.record, peers=address)
            self.records[name] = fake.record
            self.fakes.append(fake)
        self.stopping = False
        self.thread = threading.Thread(target=curio.run, args=(self.run,))

    @property
    def seed(self) -> Address:
        """Peer port of one fake."""
        return self.fakes[0].listener.address

    async def run(self) -> None:
        """Serve until stopped."""
        async with curio.TaskGroup(wait=None) as group:
            for fake in self.fakes:
                await group.spawn(fake.listener.run)
            await group.spawn(self.change_records)
            while not self.stopping:
                await curio.sleep(REPORT_S)
                for fake in self.fakes:
                    await fake.report()

    async def change_records(self) -> None:
        """Let other instances restart."""
        quiet = {fake.record.name for fake in self.fakes}
        names = [name for name in self.records if name not in quiet]
        turn = 0
        while self.churn and names:
            await curio.sleep(1 / self.churn)
            turn += 1
            name = names[turn % len(names)]
            record = self.records[name]
            record = replace(record, incarnation=record.incarnation + 1)
            self.records[name] = record
            for link in self.fakes[0].links:
                await link.post(Updates((record,)))


def measure_node(members: int, churn: float = 0.0) -> NodeFigures:
    """Measure one real entry among fake peers.

    :param members: size of the deployment.
    :param churn: changed records a second.
    :returns: its control cost.
    """
    with tempfile.TemporaryDirectory() as folder:
        example = Fleet(1, REGIONS, SERVICES).write(Path(folder) / "example")
        deployment = Deployment(Path(folder), example=example)
        world = FakeWorld(members, churn)
        path = deployment.settings[REAL]
        text = path.read_text().replace("seeds = ", f"seeds = {world.seed}")
        path.write_text(text)
        world.thread.start()
        try:
            deployment.start_platform()
            deployment.start_entry(REAL)
            deployment.wait_until(
                lambda: is_joined(deployment, members), "not joined"
            )
            time.sleep(SETTLE_S)
            return measure(deployment, members)
        finally:
            deployment.stop()
            world.stopping = True
            world.thread.join()


def is_joined(deployment: Deployment, members: int) -> bool:
    """Tell whether the real entry knows all members."""
    state = deployment.read_state(REAL)
    return bool(state) and state["ready"] and len(state["members"]) == members


def measure(deployment: Deployment, members: int) -> NodeFigures:
    """Measure the real entry for a while."""
    pid = deployment.processes[REAL].popen.pid
    began_s, cpu_s = time.monotonic(), read_cpu_s(pid)
    sent = read_sent(deployment, REAL)
    time.sleep(MEASURE_S)
    took_s = time.monotonic() - began_s
    state = deployment.read_state(REAL)
    return NodeFigures(
        members,
        len(state["links"]),
        (read_cpu_s(pid) - cpu_s) / took_s,
        (read_sent(deployment, REAL) - sent) / took_s,
        read_memory_mb(pid),
    )


if __name__ == "__main__":
    for size in (20, 60, 130, 260, 510):
        print(measure_node(size), flush=True)
    print(measure_node(510, 2.0))
