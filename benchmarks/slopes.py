"""Benchmarks of time, memory and bytes against size, with linear fits."""

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

from benchmarks.deployment import call_json
from benchmarks.deployment import RunningDeployment
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

REPEAT_COUNT = 3
PEER_ADDRESS = Address("10.0.0.1", 7100)
SITE_COUNT = 58
BLOCK_COUNTS = (1_000, 10_000, 50_000, 200_000)
SECTION_COUNTS = (100, 500, 2_000, 6_500)
MEMBER_COUNTS = (20, 60, 130, 510)
SHARD_COUNTS = (16, 64, 256, 1_024)
WATCH_INSTANCE_COUNTS = (3, 7, 20)
WATCH_EDIT_COUNT = 5
LOOKUP_COUNT = 20_000
STALL_TARGET_MS = 10.0
MS_PER_S = 1_000
US_PER_S = 1_000_000


@dataclass(frozen=True)
class Slope:
    """Figures measured at several sizes, with a linear fit.

    :param measure: name of the measure with its unit.
    :param against: name of the size.
    :param points: pairs of a size and a figure.
    """

    measure: str
    against: str
    points: tuple[tuple[float, float], ...]

    @property
    def fit(self) -> tuple[float, float, float]:
        """Slope, intercept and greatest residual of the least squares fit."""
        sizes = numpy.array([size for size, _ in self.points], float)
        figures = numpy.array([figure for _, figure in self.points], float)
        slope, intercept = numpy.polyfit(sizes, figures, 1)
        residual = numpy.abs(figures - slope * sizes - intercept).max()
        return float(slope), float(intercept), float(residual)

    def format_line(self) -> str:
        """Format the points and the fit as one line."""
        slope, intercept, residual = self.fit
        points = " ".join(f"{s:g}:{f:.4g}" for s, f in self.points)
        return (
            f"{self.measure} against {self.against}: {points}; "
            f"slope {slope:.4g}, intercept {intercept:.4g}, "
            f"residual {residual:.3g}"
        )


def measure_min_time(function: Callable[[], object]) -> float:
    """Measure the shortest duration of several calls of a function.

    :param function: the function.
    :returns: duration in seconds.
    """
    durations_s = []
    for _ in range(REPEAT_COUNT):
        start_s = time.perf_counter()
        function()
        durations_s.append(time.perf_counter() - start_s)
    return min(durations_s)


def make_document_text(section_count: int) -> str:
    """Format a document with many endpoints.

    :param section_count: number of sections.
    :returns: text of the document.
    """
    sections = [
        "[rank:urgent]\nowner = p\norder = 1\nmax_wait_s = 1",
        "[region:r0]\nowner = p\nlimit = 100000",
        "[domain:r0-a]\nowner = p\nregion = r0",
        "[service:s0]\nowner = p\nrank = urgent",
    ]
    for number in range(section_count - len(sections)):
        sections.append(
            f"[endpoint:e{number}]\nowner = p\nservice = s0\nregion = r0\n"
            f"domain = r0-a\naddress = 10.0.{number // 250}.1:80\nslots = 4"
        )
    return "\n\n".join(sections)


def change_last_endpoint(text: str) -> str:
    """Change the slots of the last endpoint.

    :param text: text of a document.
    :returns: the changed text.
    """
    head, _, tail = text.rpartition("slots = 4")
    return f"{head}slots = 5{tail}"


def make_change(document: Document, text: str):
    """Create the change message from a document to its changed text.

    :param document: the document.
    :param text: text of the document.
    :returns: the change message.
    """
    changed = parse_document(change_last_endpoint(text), "b", document).ok
    changed = changed.with_revision(document.revision + 1)
    return describe_change(
        document, changed, find_changed_sections(document, changed)
    )


def measure_documents() -> list[Slope]:
    """Measure a change of one section against the size of the document.

    :returns: slopes of loading the document, of applying the change and of
        deriving the plan.
    """
    applied_s, planned_s, loaded_s, sizes_kb, max_bytes = [], [], [], [], 0
    for count in SECTION_COUNTS:
        text = make_document_text(count)
        document = load_document(text, "a").with_revision(1)
        change = make_change(document, text)
        max_bytes = max(max_bytes, len(encode_message(change)))
        size_kb = len(text) / 1000
        sizes_kb.append(size_kb)
        loaded_s.append(measure_min_time(lambda t=text: load_document(t, "a")))
        applied_s.append(
            measure_min_time(
                lambda d=document, c=change: apply_change(d, c, "a")
            )
        )
        planned_s.append(measure_min_time(lambda d=document: make_plan(d)))
    print(f"bytes of a change with one section: {max_bytes}")
    return [
        make_slope("first load, ms", "document KB", sizes_kb, loaded_s),
        make_slope(
            "apply one section, ms", "document KB", sizes_kb, applied_s
        ),
        make_slope("derive the plan, ms", "document KB", sizes_kb, planned_s),
    ]


def make_slope(
    measure: str,
    against: str,
    sizes: Sequence[float],
    durations_s: Sequence[float],
    units_per_s: float = MS_PER_S,
) -> Slope:
    """Create a slope from durations.

    :param measure: name of the measure with its unit.
    :param against: name of the size.
    :param sizes: the sizes.
    :param durations_s: durations in seconds, one for each size.
    :param units_per_s: factor from seconds to the unit of the figures.
    :returns: the slope.
    """
    figures = [duration_s * units_per_s for duration_s in durations_s]
    return Slope(measure, against, tuple(zip(sizes, figures)))


def measure_blocks() -> list[Slope]:
    """Measure the table of callers' address blocks against its size."""
    built_s, memory_bytes, found_s = [], [], []
    for count in BLOCK_COUNTS:
        blocks = make_blocks(count)
        tracemalloc.start()
        table = BlockTable(blocks)
        memory_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        built_s.append(measure_min_time(lambda b=blocks: BlockTable(b)))
        rng = random.Random(1)
        addresses = [
            f"10.{rng.randrange(256)}.{rng.randrange(256)}.1"
            for _ in range(LOOKUP_COUNT)
        ]
        total_s = measure_min_time(
            lambda t=table, a=addresses: find_blocks(t, a)
        )
        found_s.append(total_s / LOOKUP_COUNT)
    sizes = BLOCK_COUNTS
    memory_mb = tuple(zip(sizes, [size / 1e6 for size in memory_bytes]))
    return [
        make_slope("build the table, ms", "client blocks", sizes, built_s),
        Slope("memory of the table, MB", "client blocks", memory_mb),
        make_slope(
            "find an address, us", "client blocks", sizes, found_s, US_PER_S
        ),
    ]


def make_blocks(count: int) -> list[NamedBlock]:
    """Create callers' address blocks, distributed over the sites in turn."""
    return [
        NamedBlock(
            f"{10 + n // 65536}.{n // 256 % 256}.{n % 256}.0/24",
            f"site{n % SITE_COUNT}",
        )
        for n in range(count)
    ]


def find_blocks(table: BlockTable, addresses: Sequence[str]) -> None:
    """Find the blocks of many addresses in a table."""
    for address in addresses:
        table.find(address)


def make_members(count: int) -> list[MemberRecord]:
    """Create member records of instances in four regions."""
    return [
        MemberRecord(
            f"n{n:03}",
            f"r{n % 4}",
            f"r{n % 4}-{'ab'[n % 2]}",
            PEER_ADDRESS,
            PEER_ADDRESS,
            1,
        )
        for n in range(count)
    ]


def measure_members() -> list[Slope]:
    """Measure a change of the membership against the number of members."""
    hashed_s, listed_s, assigned_s, sent_bytes = [], [], [], []
    shards = list_shards(load_document(make_document_text(516), "a"))
    for count in MEMBER_COUNTS:
        records = make_members(count)
        membership = Membership(records[0])
        for record in records[1:]:
            membership.receive(record, 0.0)
        hashed_s.append(
            measure_min_time(lambda m=membership: compute_view_hash(m))
        )
        listed_s.append(measure_min_time(membership.list_serving))
        candidates = [Candidate(m.name, m.region, m.domain) for m in records]
        assigned_s.append(
            measure_min_time(lambda c=candidates: assign_owners(shards, c))
        )
        sent_bytes.append(len(pack_message(Members(tuple(records)))))
    sizes = MEMBER_COUNTS
    points = tuple(zip(sizes, [float(size) for size in sent_bytes]))
    return [
        make_slope("hash the view, ms", "members", sizes, hashed_s),
        make_slope("list serving members, ms", "members", sizes, listed_s),
        make_slope("assign 256 shards, ms", "members", sizes, assigned_s),
        Slope("bytes of the whole list", "members", points),
    ]


def compute_view_hash(membership: Membership) -> bytes:
    """Compute the hash of the membership view without its cache."""
    membership._view_hash = None
    return membership.view_hash


def measure_shards() -> list[Slope]:
    """Measure the assignment of owners against the number of shards."""
    assigned_s = []
    candidates = [
        Candidate(f"n{n:03}", "r0", f"r0-{'ab'[n % 2]}") for n in range(127)
    ]
    for count in SHARD_COUNTS:
        text = make_document_text(2 * count + 4)
        shards = list_shards(load_document(text, "a"))
        assigned_s.append(
            measure_min_time(lambda s=shards: assign_owners(s, candidates))
        )
    measure = "assign owners among 127 members, ms"
    return [make_slope(measure, "shards", SHARD_COUNTS, assigned_s)]


def measure_stall() -> float:
    """Measure the longest stall of the event loop during a document change.

    The size of the document is about 1 MB. A task that sleeps for 1 ms
    in a loop records the time between its iterations.

    :returns: longest time between two iterations in milliseconds.
    """
    text = make_document_text(9_000)
    document = load_document(text, "a").with_revision(1)
    change = make_change(document, text)
    intervals_s = []
    freeze_garbage_collector()

    async def record_intervals() -> None:
        last_s = time.perf_counter()
        while True:
            await curio.sleep(0.001)
            now_s = time.perf_counter()
            intervals_s.append(now_s - last_s)
            last_s = now_s

    async def run() -> None:
        task = await curio.spawn(record_intervals)
        await curio.sleep(0.2)
        intervals_s.clear()
        result = await curio.run_in_thread(apply_change, document, change, "a")
        await curio.run_in_thread(make_plan, result.ok)
        await task.cancel()

    settings = sys.getswitchinterval(), gc.get_threshold()
    gc.set_threshold(GC_THRESHOLD)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        curio.run(run)
    finally:
        sys.setswitchinterval(settings[0])
        gc.set_threshold(*settings[1])
        gc.unfreeze()
    return max(intervals_s) * MS_PER_S


def measure_watching(watchers: int) -> list[Slope]:
    """Measure store calls and watches against the number of instances.

    :param watchers: instances of a region that watch the store.
    :returns: slopes of the store calls for an edit and of the waiting
        watches.
    """
    calls, waiting = [], []
    for count in WATCH_INSTANCE_COUNTS:
        counts = count_store_calls(count, watchers)
        calls.append((count, counts[0]))
        waiting.append((count, counts[1]))
    name = (
        "all watch"
        if watchers > max(WATCH_INSTANCE_COUNTS)
        else f"{watchers} watch"
    )
    return [
        Slope(f"store calls for an edit, {name}", "nodes", tuple(calls)),
        Slope(f"waiting watches, {name}", "nodes", tuple(waiting)),
    ]


def count_store_calls(count: int, watchers: int) -> tuple[float, float]:
    """Count store calls and waiting watches in a deployment of one region.

    :param count: number of entry instances.
    :param watchers: instances of the region that watch the store.
    :returns: store calls for an edit, listings of instances excluded,
        and number of waiting watches.
    """

    def add_deployment(text: str) -> str:
        return f"[deployment:d]\nowner = p\nwatchers = {watchers}\n\n{text}"

    with tempfile.TemporaryDirectory() as folder:
        example = Fleet(count).write(Path(folder) / "example")
        with RunningDeployment(
            Path(folder), transform=add_deployment, example=example
        ) as deployment:
            time.sleep(3.0)
            before = call_json(deployment.store_port, "GET", "/counts")
            apply_edits(deployment)
            after = call_json(deployment.store_port, "GET", "/counts")
    calls = sum(after["calls"].values()) - sum(before["calls"].values())
    listings = after["calls"].get("GET instances", 0)
    listings -= before["calls"].get("GET instances", 0)
    return (calls - listings) / WATCH_EDIT_COUNT, float(after["waiting"])


def apply_edits(deployment: RunningDeployment) -> None:
    """Apply several edits and wait until each is in force."""
    store = HttpStore(Address("127.0.0.1", deployment.store_port))
    editor = Editor(store)
    for number in range(WATCH_EDIT_COUNT):
        edit = Edit("region:r0", "platform", {"limit": str(200_000 + number)})
        result = curio.run(editor.edit, edit)
        deployment.wait_until(
            lambda r=result: all(
                s["revision"] >= r.revision for s in deployment.read_states()
            ),
            "not in force",
        )


def measure_slopes() -> list[Slope]:
    """Measure the slopes that need no deployment.

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
