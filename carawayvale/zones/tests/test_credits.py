"""Tests of shift credits, also with lost, late and repeated grants."""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from carawayvale.zones import CapShare
from carawayvale.zones import CreditAccount
from carawayvale.zones.credits import STARTUP_WAIT_EPOCHS

CAP = 4
PLANNED_INSTANCES = 2


def make_account():
    """Make an account whose process may already spend credits."""
    account = CreditAccount("link", 1.0)
    account.open_epoch(-STARTUP_WAIT_EPOCHS, CapShare(0, 0, 1))
    return account


class TestCreditAccount:
    def test_new_process_has_no_credits_in_its_first_epochs(self):
        account = CreditAccount("link", 1.0)
        credits = []
        for epoch in range(5, 11):
            account.open_epoch(epoch, CapShare(cap=1, growth=1, instances=1))
            credits.append(account.credits)
        assert credits == [0] * STARTUP_WAIT_EPOCHS + [1] * (
            6 - STARTUP_WAIT_EPOCHS
        )

    def test_growth_from_one_epoch_to_the_next_is_bounded(self):
        account = make_account()
        spent = []
        for epoch in range(1, 11):
            account.open_epoch(
                epoch, CapShare(cap=100, growth=10, instances=1)
            )
            count = 0
            while account.spend(epoch, 0):
                count += 1
            spent.append(count)
        assert spent == [10, 20, 30, 40, 50, 60, 70, 80, 90, 100]

    def test_urgent_ranks_may_spend_the_reserve_of_other_ranks(self):
        account = make_account()
        account.open_epoch(1, CapShare(cap=10, growth=10, instances=1))
        lowest = sum(account.spend(1, 2) for _ in range(20))
        middle = sum(account.spend(1, 1) for _ in range(20))
        urgent = sum(account.spend(1, 0) for _ in range(20))
        assert (lowest, middle, urgent) == (6, 2, 2)

    def test_paused_process_spends_no_credits_of_a_past_epoch(self):
        account = make_account()
        account.open_epoch(1, CapShare(cap=10, growth=10, instances=1))
        assert not account.spend(account.find_epoch(2.5), 0)

    def test_granted_credits_are_deducted(self):
        account = make_account()
        account.open_epoch(1, CapShare(cap=2, growth=2, instances=1))
        assert account.grant(1, 2).credits == 2
        assert not account.spend(1, 0)
        assert account.grant(1, 1) is None

    def test_repeated_grant_is_accepted_once(self):
        sender, receiver = make_account(), make_account()
        for account in (sender, receiver):
            account.open_epoch(1, CapShare(cap=4, growth=4, instances=2))
        grant = sender.grant(1, 1)
        assert receiver.accept("e1", grant, 1)
        assert not receiver.accept("e1", grant, 1)


class CreditStateMachine(RuleBasedStateMachine):
    """Accounts with wrong clocks and lost, late and repeated grants."""

    @initialize(
        skews=strategies.lists(
            strategies.integers(-1, 1),
            min_size=PLANNED_INSTANCES,
            max_size=PLANNED_INSTANCES,
        )
    )
    def start(self, skews):
        self.now = 100
        self.skews = skews
        self.accounts = [CreditAccount("link", 1.0) for _ in skews]
        self.instance_counts = [PLANNED_INSTANCES] * PLANNED_INSTANCES
        self.messages = []
        self.spent = {}

    def read_epoch(self, index):
        """Return the current epoch by the clock of an instance."""
        return self.now + self.skews[index]

    def open_epoch(self, index):
        """Open the current epoch of an instance."""
        # An instance with a stale membership counts fewer instances
        # than planned; the cap is divided by the planned number then.
        instances = max(PLANNED_INSTANCES, self.instance_counts[index])
        share = CapShare(CAP, CAP, instances)
        self.accounts[index].open_epoch(self.read_epoch(index), share)

    @rule(
        index=strategies.integers(0, PLANNED_INSTANCES - 1),
        count=strategies.integers(1, 2 * PLANNED_INSTANCES),
    )
    def change_instance_count(self, index, count):
        self.instance_counts[index] = count

    @rule(
        index=strategies.integers(0, PLANNED_INSTANCES - 1),
        times=strategies.integers(1, 6),
    )
    def spend(self, index, times):
        self.open_epoch(index)
        epoch = self.read_epoch(index)
        for _ in range(times):
            if self.accounts[index].spend(epoch, 0):
                self.spent[epoch] = self.spent.get(epoch, 0) + 1

    @rule(
        index=strategies.integers(0, PLANNED_INSTANCES - 1),
        credits=strategies.integers(1, 3),
        receiver=strategies.integers(0, PLANNED_INSTANCES - 1),
    )
    def grant(self, index, credits, receiver):
        grant = self.accounts[index].grant(self.read_epoch(index), credits)
        if grant is not None and receiver != index:
            self.messages.append((index, receiver, grant))

    @precondition(lambda self: self.messages)
    @rule(data=strategies.data(), lost=strategies.booleans())
    def deliver(self, data, lost):
        # The message stays in the list, so it may arrive again, in a
        # later epoch or after a later message.
        message = data.draw(strategies.sampled_from(self.messages))
        sender, receiver, grant = message
        if lost:
            self.messages.remove(message)
            return
        epoch = self.read_epoch(receiver)
        self.accounts[receiver].accept(f"e{sender}", grant, epoch)

    @rule(epochs=strategies.integers(0, 3))
    def advance_time(self, epochs):
        self.now += epochs

    @rule(
        index=strategies.integers(0, PLANNED_INSTANCES - 1),
        skew=strategies.integers(-1, 1),
    )
    def replace_instance(self, index, skew):
        # The old process may have spent its share of the next epochs
        # by the clock of the new process.
        self.skews[index] = skew
        self.accounts[index] = CreditAccount("link", 1.0)

    @invariant()
    def spent_credits_never_exceed_the_cap(self):
        assert all(n <= CAP for n in getattr(self, "spent", {}).values())


TestCreditStateMachine = CreditStateMachine.TestCase
TestCreditStateMachine.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
)
