"""Tests of the document replica and of the changes between revisions."""

from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from carawayvale.contracts import load_document
from carawayvale.links import apply_change
from carawayvale.links import DocumentReplica


def make_document(revision, **regions):
    """Make a document whose regions have the given limits."""
    text = "\n".join(
        f"[region:{name}]\nowner = platform\nlimit = {limit}\n"
        for name, limit in regions.items()
    )
    return load_document(text, "doc").with_revision(revision)


class TestDocumentReplica:
    def test_lower_revision_is_not_put_in_force(self):
        replica = DocumentReplica()
        assert replica.accept(make_document(5, a=1))
        assert not replica.accept(make_document(5, a=2))
        assert not replica.accept(make_document(4, a=3))
        assert replica.document.by_kind["region"]["a"].limit == 1

    def test_change_holds_only_changed_sections(self):
        replica = DocumentReplica()
        first = make_document(1, a=1, b=2, c=3)
        replica.accept(first)
        replica.accept(make_document(2, a=1, b=9, d=4))
        change = replica.collect_since(1, first.digest)
        assert [s.title for s in change.changed] == ["region:b", "region:d"]
        assert change.removed == ("region:c",)

    def test_unknown_base_gets_all_sections(self):
        replica = DocumentReplica()
        replica.accept(make_document(7, a=1, b=2))
        change = replica.collect_since(3, b"other")
        assert change.base == 0
        assert len(change.changed) == 2


class TestApplyChange:
    def test_result_must_match_the_hash_of_the_change(self):
        replica = DocumentReplica()
        replica.accept(make_document(1, a=1))
        change = replica.collect_since(0, b"")
        other = DocumentReplica()
        wrong = type(change)(0, 1, b"wrong", change.changed, ())
        assert apply_change(other.document, wrong, "peer").is_error()
        assert apply_change(other.document, change, "peer").is_ok()

    def test_invalid_sections_are_rejected_with_findings(self):
        replica = DocumentReplica()
        replica.accept(make_document(1, a=1))
        change = replica.collect_since(0, b"")
        invalid = type(change)(
            0,
            2,
            change.digest,
            (type(change.changed[0])("region:a", "limit = none"),),
            (),
        )
        result = apply_change(replica.document, invalid, "peer")
        assert {str(f.place) for f in result.error} == {
            "region:a: 1: [region:a]",
            "region:a: 2: [region:a] limit",
        }


class ReplicationMachine(RuleBasedStateMachine):
    """State machine of replicas that fetch changes in any order."""

    @initialize()
    def start(self):
        self.latest = make_document(1, a=1, b=2)
        self.replicas = [DocumentReplica() for _ in range(4)]
        self.replicas[0].accept(self.latest)
        self.last_revisions = [0] * 4

    @rule(
        name=strategies.sampled_from("abcd"),
        limit=strategies.integers(1, 9),
        index=strategies.integers(0, 3),
    )
    def edit(self, name, limit, index):
        limits = {
            region.name: region.limit
            for region in self.latest.by_kind["region"].values()
        }
        if limits.get(name) == limit and len(limits) > 1:
            del limits[name]
        else:
            limits[name] = limit
        self.latest = make_document(self.latest.revision + 1, **limits)
        self.replicas[index].accept(self.latest)

    @rule(sender=strategies.integers(0, 3), receiver=strategies.integers(0, 3))
    def fetch(self, sender, receiver):
        sender, receiver = self.replicas[sender], self.replicas[receiver]
        if sender.revision <= receiver.revision:
            return
        document = receiver.document
        change = sender.collect_since(document.revision, document.digest)
        result = apply_change(document, change, "peer")
        assert result.is_ok(), result.error
        receiver.accept(result.ok)
        assert receiver.document.digest == sender.document.digest

    @invariant()
    def no_revision_decreases(self):
        if hasattr(self, "replicas"):
            revisions = [replica.revision for replica in self.replicas]
            assert all(a <= b for a, b in zip(self.last_revisions, revisions))
            self.last_revisions = revisions


TestReplicationMachine = ReplicationMachine.TestCase
