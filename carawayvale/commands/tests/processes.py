"""Helpers for tests that run a deployment of real processes."""

from carawayvale.documents import Edit
from carawayvale.standins import CallOutcome
from carawayvale.standins import ServiceCall

ZURICH_LIMIT_EDIT = Edit("region:zurich", "platform", {"limit": "59"})
SMALL_ENTRIES = ("zurich-1", "zurich-2", "zurich-3", "geneva-1", "geneva-2")
SUBMISSION = ServiceCall(
    "submissions", "POST", "/", body=b"grid", timeout_s=8.0
)
SETTLING_TIME_S = 2.0
STEP_RPS = 12
GENEVA_CALLER_IP = "127.11.0.9"
ZURICH_CALLER_IP = "127.10.0.9"


def is_in_force(deployment, revision, names=None):
    """Check whether a revision is in force at the entry instances."""
    states = deployment.read_states(names)
    return all(s is not None and s["revision"] >= revision for s in states)


def wait_in_force(deployment, revision, names=None):
    """Wait until a revision is in force at the entry instances."""
    deployment.wait_until(
        lambda: is_in_force(deployment, revision, names), "not in force"
    )


def check_revisions(deployment):
    """Check that the revision of no instance ever decreased."""
    for name in deployment.settings:
        revisions = deployment.list_revisions(name)
        assert revisions == sorted(revisions), name


def find_watchers(deployment, region):
    """Find the entry instances that watch the store for a region."""
    return [
        state["name"]
        for state in deployment.read_states()
        if state and state["region"] == region and state["watcher"]
    ]


def check_ledgers(deployment, load):
    """Check outcomes of submissions against ledgers of backend servers.

    No submission ran more than once, one reported as not run never ran, and
    one with a response ran exactly once.
    """
    run_counts = {}
    for ledger in deployment.read_ledgers("submissions.*").values():
        for request_id, count in ledger["runs"].items():
            run_counts[request_id] = run_counts.get(request_id, 0) + count
    for record in load.records:
        if (
            record.call.method != "POST"
            or record.call.service != "submissions"
        ):
            continue
        count = run_counts.get(record.result.request_id, 0)
        assert count <= 1, record
        if record.result.outcome is CallOutcome.NOT_RUN:
            assert count == 0, record
        if record.result.outcome is CallOutcome.ANSWERED:
            assert count == 1, record


def is_interrupted(reason):
    """Check whether an attempt was interrupted before the response."""
    return reason.startswith("broken") or "failed" in reason


def considers_dead(state, name):
    """Check whether an entry instance considers another one dead."""
    member_states = [m["state"] for m in state["members"] if m["name"] == name]
    return member_states == ["dead"]
