"""Slopes of processor time, memory and bytes against the planned size."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import gc
import json
from pathlib import Path
import random
import sys
import tempfile
import time
import tracemalloc

import curio
import numpy

from benchmarks.deployment import call
from benchmarks.deployment import Deployment
from benchmarks.fleet import Fleet
from carawayvale.commands.daemon_runner import GC_THRESHOLD
from carawayvale.commands.daemon_runner import SWITCH_INTERVAL_S
from carawayvale.contracts import Address
from carawayvale.contracts import Document
from carawayvale.contracts import load_document
from carawayvale.contracts import parse_document
from carawayvale.documents import Edit
from carawayvale.documents import Editor
from carawayvale.documents import HttpStore
from carawayvale.links import apply_change
from carawayvale.links.document_replica import describe_change
from carawayvale.links import encode_message
from carawayvale.links import find_changed_sections
from carawayvale.links import MemberRecord
from carawayvale.links import Members
from carawayvale.links import Membership
from carawayvale.links import pack_message
from carawayvale.machines import freeze_garbage_collector
from carawayvale.zones import assign_owners
from carawayvale.zones import BlockTable
from carawayvale.zones import Candidate
from carawayvale.zones import list_shards
from carawayvale.zones import make_plan
from carawayvale.zones import NamedBlock

REPEATS = 3
PORT = Address("10.0.0.1", 7100)
SITES = 58
BLOCK_SIZES = (1_000, 10_000, 50_000, 200_000)
DOCUMENT_SECTIONS = (100, 500, 2_000, 6_500)
MEMBER_SIZES = (20, 60, 130, 510)
SHARD_SIZES = (16, 64, 256, 1_024)
WATCH_SIZES = (3, 7, 20)
WATCH_EDITS = 5
LOOKUPS = 20_000
STALL_TARGET_MS = 10.0
MS = 1_000
US = 1_000_000


@dataclass(frozen=True)
class Slope:
    """A straight line through measured points.

    :param measure: what was measured, with its unit.
    :param against: what it was measured against.
    :param points: sizes and figures.
    """

    measure: str
    against: str
    points: tuple[tuple[float, float], ...]

    @property
    def fit(self) -> tuple[float, float, float]:
        """Slope, intercept and greatest residual of the fit."""
        sizes = numpy.array([size for size, _ in self.points], float)
        figures = numpy.array([figure for _, figure in self.points], float)
        slope, intercept = numpy.polyfit(sizes, figures, 1)
        residual = numpy.abs(figures - slope * sizes - intercept).max()
        return float(slope), float(intercept), float(residual)

    def format_line(self) -> str:
        """Write points and fit on one line."""
        slope, intercept, residual = self.fit
        listed = " ".join(f"{s:g}:{f:.4g}" for s, f in self.points)
        return (
            f"{self.measure} against {self.against}: {listed}; "
            f"slope {slope:.4g}, intercept {intercept:.4g}, "
            f"residual {residual:.3g}"
        )


def time_best(act: Callable[[], object]) -> float:
    """Time a call; the least of several runs, in seconds."""
    times = []
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        act()
        times.append(time.perf_counter() - began_s)
    return min(times)


def make_text(sections: int) -> str:
    """Write a document with many endpoints."""
    parts = [
        "[rank:urgent]\nowner = p\norder = 1\nmax_wait_s = 1",
        "[region:r0]\nowner = p\nlimit = 100000",
        "[domain:r0-a]\nowner = p\nregion = r0",
        "[service:s0]\nowner = p\nrank = urgent",
    ]
    for number in range(sections - len(parts)):
        parts.append(
            f"[endpoint:e{number}]\nowner = p\nservice = s0\nregion = r0\n"
            f"domain = r0-a\naddress = 10.0.{number // 250}.1:80\nslots = 4"
        )
    return "\n\n".join(parts)


def change_text(text: str) -> str:
    """Change one section."""
    head, _, tail = text.rpartition("slots = 4")
    return f"{head}slots = 5{tail}"


def make_change(document: Document, text: str):
    """Make the step to a changed text."""
    new = parse_document(change_text(text), "b", document).ok
    new = new.number_as(document.revision + 1)
    return describe_change(document, new, find_changed_sections(document, new))


def measure_documents() -> list[Slope]:
    """Measure what one changed section costs against the document."""
    applied, planned, loaded, sizes, step = [], [], [], [], 0
    for count in DOCUMENT_SECTIONS:
        text = make_text(count)
        document = load_document(text, "a").number_as(1)
        change = make_change(document, text)
        step = max(step, len(encode_message(change)))
        size = len(text) / 1000
        sizes.append(size)
        loaded.append(time_best(lambda t=text: load_document(t, "a")))
        applied.append(
            time_best(lambda d=document, c=change: apply_change(d, c, "a"))
        )
        planned.append(time_best(lambda d=document: make_plan(d)))
    print(f"bytes of a step with one section: {step}")
    return [
        make_slope("first load, ms", "document KB", sizes, loaded),
        make_slope("apply one section, ms", "document KB", sizes, applied),
        make_slope("derive the plan, ms", "document KB", sizes, planned),
    ]


def make_slope(
    measure: str,
    against: str,
    sizes: Sequence[float],
    seconds: Sequence[float],
    unit: float = MS,
) -> Slope:
    """Make a slope from times in seconds."""
    figures = [value * unit for value in seconds]
    return Slope(measure, against, tuple(zip(sizes, figures)))


def measure_blocks() -> list[Slope]:
    """Measure the table of client blocks."""
    built, memory, found = [], [], []
    for count in BLOCK_SIZES:
        blocks = make_blocks(count)
        tracemalloc.start()
        table = BlockTable(blocks)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        built.append(time_best(lambda b=blocks: BlockTable(b)))
        chooser = random.Random(1)
        asked = [
            f"10.{chooser.randrange(256)}.{chooser.randrange(256)}.1"
            for _ in range(LOOKUPS)
        ]
        seconds = time_best(lambda t=table, a=asked: find_all(t, a))
        found.append(seconds / LOOKUPS)
    sizes = BLOCK_SIZES
    kept = tuple(zip(sizes, [size / 1e6 for size in memory]))
    return [
        make_slope("build the table, ms", "client blocks", sizes, built),
        Slope("memory of the table, MB", "client blocks", kept),
        make_slope("find an address, us", "client blocks", sizes, found, US),
    ]


def make_blocks(count: int) -> list[NamedBlock]:
    """Make client blocks that belong to sites."""
    return [
        NamedBlock(
            f"{10 + n // 65536}.{n // 256 % 256}.{n % 256}.0/24",
            f"site{n % SITES}",
        )
        for n in range(count)
    ]


def find_all(table: BlockTable, addresses: Sequence[str]) -> None:
    """Find the names of many addresses."""
    for address in addresses:
        table.find(address)


def make_members(count: int) -> list[MemberRecord]:
    """Make records of instances in four regions."""
    return [
        MemberRecord(
            f"n{n:03}", f"r{n % 4}", f"r{n % 4}-{'ab'[n % 2]}", PORT, PORT, 1
        )
        for n in range(count)
    ]


def measure_members() -> list[Slope]:
    """Measure what a change of the member list costs."""
    hashed, listed, assigned, sent = [], [], [], []
    shards = list_shards(load_document(make_text(516), "a"))
    for count in MEMBER_SIZES:
        records = make_members(count)
        membership = Membership(records[0])
        for record in records[1:]:
            membership.receive(record, 0.0)
        hashed.append(time_best(lambda m=membership: rehash(m)))
        listed.append(time_best(membership.list_serving))
        candidates = [Candidate(m.name, m.region, m.domain) for m in records]
        assigned.append(
            time_best(lambda c=candidates: assign_owners(shards, c))
        )
        sent.append(len(pack_message(Members(tuple(records)))))
    sizes = MEMBER_SIZES
    whole = tuple(zip(sizes, [float(size) for size in sent]))
    return [
        make_slope("hash the view, ms", "members", sizes, hashed),
        make_slope("list serving members, ms", "members", sizes, listed),
        make_slope("assign 256 shards, ms", "members", sizes, assigned),
        Slope("bytes of the whole list", "members", whole),
    ]


def rehash(membership: Membership) -> bytes:
    """Compute the hash of the view anew."""
    membership._view_hash = None
    return membership.view_hash


def measure_shards() -> list[Slope]:
    """Measure ownership against the number of shards."""
    assigned = []
    candidates = [
        Candidate(f"n{n:03}", "r0", f"r0-{'ab'[n % 2]}") for n in range(127)
    ]
    for count in SHARD_SIZES:
        text = make_text(2 * count + 4)
        shards = list_shards(load_document(text, "a"))
        assigned.append(
            time_best(lambda s=shards: assign_owners(s, candidates))
        )
    measure = "assign owners among 127 members, ms"
    return [make_slope(measure, "shards", SHARD_SIZES, assigned)]


def measure_stall() -> float:
    """Measure the longest stall of the event loop during a change.

    :returns: milliseconds, with a document of a megabyte.
    """
    text = make_text(9_000)
    document = load_document(text, "a").number_as(1)
    change = make_change(document, text)
    gaps = []
    freeze_garbage_collector()

    async def tick() -> None:
        last_s = time.perf_counter()
        while True:
            await curio.sleep(0.001)
            now_s = time.perf_counter()
            gaps.append(now_s - last_s)
            last_s = now_s

    async def run() -> None:
        task = await curio.spawn(tick)
        await curio.sleep(0.2)
        gaps.clear()
        result = await curio.run_in_thread(apply_change, document, change, "a")
        await curio.run_in_thread(make_plan, result.ok)
        await task.cancel()

    before = sys.getswitchinterval(), gc.get_threshold()
    gc.set_threshold(GC_THRESHOLD)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        curio.run(run)
    finally:
        sys.setswitchinterval(before[0])
        gc.set_threshold(*before[1])
        gc.unfreeze()
    return max(gaps) * MS


def measure_watching(watchers: int) -> list[Slope]:
    """Measure the store's calls for an edit against instances.

    :param watchers: instances of a region that watch.
    :returns: slopes of calls and of waiting watches.
    """
    calls, waiting = [], []
    for count in WATCH_SIZES:
        found = watch_fleet(count, watchers)
        calls.append((count, found[0]))
        waiting.append((count, found[1]))
    name = "all watch" if watchers > max(WATCH_SIZES) else f"{watchers} watch"
    return [
        Slope(f"store calls for an edit, {name}", "nodes", tuple(calls)),
        Slope(f"waiting watches, {name}", "nodes", tuple(waiting)),
    ]


def watch_fleet(count: int, watchers: int) -> tuple[float, float]:
    """Count calls for an edit and waiting watches in one region."""

    def add_deployment(text: str) -> str:
        return f"[deployment:d]\nowner = p\nwatchers = {watchers}\n\n{text}"

    with tempfile.TemporaryDirectory() as folder:
        example = Fleet(count).write(Path(folder) / "example")
        with Deployment(
            Path(folder), change=add_deployment, example=example
        ) as deployment:
            time.sleep(3.0)
            before = call(deployment.store_port, "GET", "/counts")
            edit_often(deployment)
            after = call(deployment.store_port, "GET", "/counts")
    made = sum(after["calls"].values()) - sum(before["calls"].values())
    listed = after["calls"].get("GET instances", 0)
    listed -= before["calls"].get("GET instances", 0)
    return (made - listed) / WATCH_EDITS, float(after["waiting"])


def edit_often(deployment: Deployment) -> None:
    """Make some edits and wait until each is in force."""
    store = HttpStore(Address("127.0.0.1", deployment.store_port))
    editor = Editor(store)
    for number in range(WATCH_EDITS):
        edit = Edit("region:r0", "platform", {"limit": str(200_000 + number)})
        result = curio.run(editor.edit, edit)
        deployment.wait_until(
            lambda r=result: all(
                s["revision"] >= r.revision for s in deployment.read_states()
            ),
            "not in force",
        )


def measure_slopes() -> list[Slope]:
    """Measure all slopes of functions.

    :returns: the slopes.
    """
    return [
        *measure_documents(),
        *measure_blocks(),
        *measure_members(),
        *measure_shards(),
    ]


if __name__ == "__main__":
    for measured in measure_slopes():
        print(measured.format_line(), flush=True)
    print(f"longest stall at 1 MB: {measure_stall():.1f} ms")
    size = len(json.dumps([b.network for b in make_blocks(200_000)]))
    print(f"200,000 blocks as text: {size / 1e6:.1f} MB")
    for number in (2, 1024):
        for measured in measure_watching(number):
            print(measured.format_line(), flush=True)
