"""Tests of the document in force and of its steps."""

from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from carawayvale.contracts import load_document
from carawayvale.links import apply_change
from carawayvale.links import DocumentKeeper


def make_document(revision, **regions):
    """Make a document whose regions have the given limits."""
    text = "\n".join(
        f"[region:{name}]\nowner = platform\nlimit = {limit}\n"
        for name, limit in regions.items()
    )
    return load_document(text, "doc").with_revision(revision)


class TestDocumentKeeper:
    def test_lower_revision_never_comes_into_force(self):
        keeper = DocumentKeeper()
        assert keeper.accept(make_document(5, a=1))
        assert not keeper.accept(make_document(5, a=2))
        assert not keeper.accept(make_document(4, a=3))
        assert keeper.document.by_kind["region"]["a"].limit == 1

    def test_step_holds_only_changed_sections(self):
        keeper = DocumentKeeper()
        first = make_document(1, a=1, b=2, c=3)
        keeper.accept(first)
        keeper.accept(make_document(2, a=1, b=9, d=4))
        step = keeper.collect_since(1, first.digest)
        assert [s.title for s in step.changed] == ["region:b", "region:d"]
        assert step.removed == ("region:c",)

    def test_unknown_base_gets_everything(self):
        keeper = DocumentKeeper()
        keeper.accept(make_document(7, a=1, b=2))
        step = keeper.collect_since(3, b"other")
        assert step.base == 0
        assert len(step.changed) == 2


class TestApplyChange:
    def test_result_must_match_its_hash(self):
        keeper = DocumentKeeper()
        keeper.accept(make_document(1, a=1))
        step = keeper.collect_since(0, b"")
        other = DocumentKeeper()
        bad = type(step)(0, 1, b"wrong", step.changed, ())
        assert apply_change(other.document, bad, "peer").is_error()
        assert apply_change(other.document, step, "peer").is_ok()

    def test_invalid_sections_are_refused_with_findings(self):
        keeper = DocumentKeeper()
        keeper.accept(make_document(1, a=1))
        step = keeper.collect_since(0, b"")
        bad = type(step)(
            0,
            2,
            step.digest,
            (type(step.changed[0])("region:a", "limit = none"),),
            (),
        )
        result = apply_change(keeper.document, bad, "peer")
        assert {str(f.place) for f in result.error} == {
            "region:a: 1: [region:a]",
            "region:a: 2: [region:a] limit",
        }


class SpreadMachine(RuleBasedStateMachine):
    """Instances pull steps from each other in any order."""

    @initialize()
    def start(self):
        self.truth = make_document(1, a=1, b=2)
        self.keepers = [DocumentKeeper() for _ in range(4)]
        self.keepers[0].accept(self.truth)
        self.before = [0] * 4

    @rule(
        name=strategies.sampled_from("abcd"),
        limit=strategies.integers(1, 9),
        index=strategies.integers(0, 3),
    )
    def edit(self, name, limit, index):
        limits = {
            region.name: region.limit
            for region in self.truth.by_kind["region"].values()
        }
        if limits.get(name) == limit and len(limits) > 1:
            del limits[name]
        else:
            limits[name] = limit
        self.truth = make_document(self.truth.revision + 1, **limits)
        self.keepers[index].accept(self.truth)

    @rule(giver=strategies.integers(0, 3), taker=strategies.integers(0, 3))
    def pull(self, giver, taker):
        giver, taker = self.keepers[giver], self.keepers[taker]
        if giver.revision <= taker.revision:
            return
        document = taker.document
        step = giver.collect_since(document.revision, document.digest)
        result = apply_change(document, step, "peer")
        assert result.is_ok(), result.error
        taker.accept(result.ok)
        assert taker.document.digest == giver.document.digest

    @invariant()
    def no_revision_falls(self):
        if hasattr(self, "keepers"):
            now = [keeper.revision for keeper in self.keepers]
            assert all(a <= b for a, b in zip(self.before, now))
            self.before = now


TestSpreadMachine = SpreadMachine.TestCase
