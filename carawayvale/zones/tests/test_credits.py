"""Tests of credits, with a state machine over lost and late messages."""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from carawayvale.zones import Allowance
from carawayvale.zones import CreditAccount
from carawayvale.zones.credits import JOIN_EPOCHS

CAP = 4
PLANNED = 2


def make_account():
    """Make a account whose process began long ago."""
    account = CreditAccount("link", 1.0)
    account.open(-JOIN_EPOCHS, Allowance(0, 0, 1))
    return account


class TestCreditAccount:
    def test_new_process_waits_for_its_first_credits(self):
        account = CreditAccount("link", 1.0)
        opened = []
        for epoch in range(5, 11):
            account.open(epoch, Allowance(cap=1, step=1, divisor=1))
            opened.append(account.credits)
        assert opened == [0] * JOIN_EPOCHS + [1] * (6 - JOIN_EPOCHS)

    def test_growth_from_one_epoch_to_the_next_is_bounded(self):
        account = make_account()
        spent = []
        for epoch in range(1, 11):
            account.open(epoch, Allowance(cap=100, step=10, divisor=1))
            count = 0
            while account.spend(epoch, 0):
                count += 1
            spent.append(count)
        assert spent == [10, 20, 30, 40, 50, 60, 70, 80, 90, 100]

    def test_urgent_work_may_spend_what_others_leave(self):
        account = make_account()
        account.open(1, Allowance(cap=10, step=10, divisor=1))
        lowest = sum(account.spend(1, 2) for _ in range(20))
        middle = sum(account.spend(1, 1) for _ in range(20))
        urgent = sum(account.spend(1, 0) for _ in range(20))
        assert (lowest, middle, urgent) == (6, 2, 2)

    def test_paused_process_spends_nothing_of_an_old_epoch(self):
        account = make_account()
        account.open(1, Allowance(cap=10, step=10, divisor=1))
        assert not account.spend(account.find_epoch(2.5), 0)

    def test_given_credits_are_gone(self):
        account = make_account()
        account.open(1, Allowance(cap=2, step=2, divisor=1))
        assert account.give(1, 2).credits == 2
        assert not account.spend(1, 0)
        assert account.give(1, 1) is None

    def test_duplicated_grant_counts_once(self):
        giver, taker = make_account(), make_account()
        for account in (giver, taker):
            account.open(1, Allowance(cap=4, step=4, divisor=2))
        grant = giver.give(1, 1)
        assert taker.accept("e1", grant, 1)
        assert not taker.accept("e1", grant, 1)


class CreditMachine(RuleBasedStateMachine):
    """Accounts whose clocks differ and whose messages go astray."""

    @initialize(
        skews=strategies.lists(
            strategies.integers(-1, 1), min_size=PLANNED, max_size=PLANNED
        )
    )
    def start(self, skews):
        self.now = 100
        self.skews = skews
        self.accounts = [CreditAccount("link", 1.0) for _ in skews]
        self.views = [PLANNED] * PLANNED
        self.messages = []
        self.spent = {}

    def read_epoch(self, index):
        """Read the epoch on one instance's clock."""
        return self.now + self.skews[index]

    def open_epoch(self, index):
        """Open the present epoch as the instance sees it."""
        # A stale view counts fewer instances than are planned; the
        # divisor never falls below the plan.
        divisor = max(PLANNED, self.views[index])
        allowance = Allowance(CAP, CAP, divisor)
        self.accounts[index].open(self.read_epoch(index), allowance)

    @rule(
        index=strategies.integers(0, PLANNED - 1),
        seen=strategies.integers(1, 2 * PLANNED),
    )
    def change_view(self, index, seen):
        self.views[index] = seen

    @rule(
        index=strategies.integers(0, PLANNED - 1),
        times=strategies.integers(1, 6),
    )
    def spend(self, index, times):
        self.open_epoch(index)
        epoch = self.read_epoch(index)
        for _ in range(times):
            if self.accounts[index].spend(epoch, 0):
                self.spent[epoch] = self.spent.get(epoch, 0) + 1

    @rule(
        index=strategies.integers(0, PLANNED - 1),
        credits=strategies.integers(1, 3),
        taker=strategies.integers(0, PLANNED - 1),
    )
    def give(self, index, credits, taker):
        grant = self.accounts[index].give(self.read_epoch(index), credits)
        if grant is not None and taker != index:
            self.messages.append((index, taker, grant))

    @precondition(lambda self: self.messages)
    @rule(data=strategies.data(), lost=strategies.booleans())
    def deliver(self, data, lost):
        # The message stays in the list: it may come again, or late, or
        # after a later one.
        message = data.draw(strategies.sampled_from(self.messages))
        sender, taker, grant = message
        if lost:
            self.messages.remove(message)
            return
        epoch = self.read_epoch(taker)
        self.accounts[taker].accept(f"e{sender}", grant, epoch)

    @rule(epochs=strategies.integers(0, 3))
    def pass_time(self, epochs):
        self.now += epochs

    @rule(
        index=strategies.integers(0, PLANNED - 1),
        skew=strategies.integers(-1, 1),
    )
    def replace_instance(self, index, skew):
        # The old process may have spent its share of the epochs that
        # the new process's clock shows next.
        self.skews[index] = skew
        self.accounts[index] = CreditAccount("link", 1.0)

    @invariant()
    def spent_sum_never_passes_the_cap(self):
        assert all(n <= CAP for n in getattr(self, "spent", {}).values())


TestCreditMachine = CreditMachine.TestCase
TestCreditMachine.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
)
