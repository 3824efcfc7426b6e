"""Helpers for tests of real processes."""

from carawayvale.documents import Edit
from carawayvale.standins import BackendCall
from carawayvale.standins import CallOutcome

REGION_EDIT = Edit("region:zurich", "platform", {"limit": "59"})
SMALL = ("zurich-1", "zurich-2", "zurich-3", "geneva-1", "geneva-2")
SUBMISSION = BackendCall(
    "submissions", "POST", "/", body=b"grid", timeout_s=8.0
)
WARM_S = 2.0
STEP_RPS = 12
GENEVA = "127.11.0.9"
ZURICH = "127.10.0.9"


def is_in_force(deployment, revision, names=None):
    """Tell whether a revision is in force at entries."""
    states = deployment.read_states(names)
    return all(s is not None and s["revision"] >= revision for s in states)


def wait_in_force(deployment, revision, names=None):
    """Wait until a revision is in force at entries."""
    deployment.wait_until(
        lambda: is_in_force(deployment, revision, names), "not in force"
    )


def check_revisions(deployment):
    """Check that no instance's revision ever fell."""
    for name in deployment.settings:
        revisions = deployment.list_revisions(name)
        assert revisions == sorted(revisions), name


def find_watchers(deployment, region):
    """Find the watchers of a region."""
    return [
        state["name"]
        for state in deployment.read_states()
        if state and state["region"] == region and state["watcher"]
    ]


def check_ledgers(deployment, load):
    """Check that submissions ran at most once and refusals are true."""
    runs = {}
    for ledger in deployment.read_ledgers("submissions.*").values():
        for request_id, count in ledger["runs"].items():
            runs[request_id] = runs.get(request_id, 0) + count
    for record in load.records:
        if (
            record.call.method != "POST"
            or record.call.service != "submissions"
        ):
            continue
        count = runs.get(record.result.request_id, 0)
        assert count <= 1, record
        if record.result.outcome is CallOutcome.NOT_RUN:
            assert count == 0, record
        if record.result.outcome is CallOutcome.ANSWERED:
            assert count == 1, record


def is_cut(reason):
    """Tell whether an attempt ended without an answer."""
    return reason.startswith("broken") or "failed" in reason


def is_dead(state, name):
    """Tell whether an entry holds an instance for dead."""
    found = [m["state"] for m in state["members"] if m["name"] == name]
    return found == ["dead"]
