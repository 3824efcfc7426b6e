"""Tests of the quotas of organisations over all instances."""

from dataclasses import dataclass
from dataclasses import replace
import random

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies
import pytest

from carawayvale.steering.quota_accounts import QuotaAccount
from carawayvale.steering.quota_buckets import Grant
from carawayvale.steering.quota_buckets import QuotaBucket
from carawayvale.steering.quota_buckets import QuotaLimit
from carawayvale.steering.quota_buckets import QuotaRules
from carawayvale.steering.quota_owners import Handover
from carawayvale.steering.quota_owners import QuotaOwner
from carawayvale.steering.quota_owners import QuotaOwnership

RULES = QuotaRules()
# Rules with which a bucket without a burst holds one token.
WITHOUT_SLACK = QuotaRules(slack=0.0)
NAME = "press"
TICK_S = 0.1
ROUND_TRIP_S = 0.04


class Instance:
    """The quota of one organisation at one instance."""

    def __init__(self, name, members, limit, now_s, rules):
        self.name = name
        self.ownership = QuotaOwnership(name, now_s)
        self.owner = QuotaOwner(self.ownership, rules, now_s)
        self.owner.set_members(members, now_s)
        self.owner.set_limits({NAME: limit}, now_s)
        self.ownership.find(NAME)
        self.account = QuotaAccount(NAME, rules)

    def ask(self, limit, waiting, expected, now_s):
        """Ask this instance for tokens."""
        return self.owner.grant(NAME, limit, waiting, expected, now_s)


def make_instances(count, limit, now_s=0.0, rules=RULES):
    """Make instances that know each other, by name."""
    names = [f"e{number}" for number in range(count)]
    return {name: Instance(name, names, limit, now_s, rules) for name in names}


class TestUnevenDemand:
    """A quota refuses nothing below the limit, however demand is spread."""

    def play(self, limit, count, arrivals):
        """Play requests at instances and count those that get a token.

        :param arrivals: time and index of the instance of each request.
        """
        instances = make_instances(count, limit)
        names = list(instances)
        owner = instances[instances["e0"].ownership.find(NAME).name]
        served = []
        ticked_s = 0.0
        for now_s, index in arrivals:
            while ticked_s < now_s:
                ticked_s += TICK_S
                owner.owner.advance(ticked_s)
            account = instances[names[index]].account
            account.record_demand(now_s)
            token = account.spend(now_s)
            if token is None and account.find_retry(limit, now_s) is None:
                expected = account.estimate_demand(now_s)
                grant = owner.ask(limit, 1, expected, now_s)
                account.add(owner.name, grant, now_s)
                token = account.spend(now_s)
            if token is not None:
                served.append(now_s)
        return served

    def test_two_requests_a_second_over_121_instances(self):
        """Tokens for expected requests would be lost at most of them."""
        chooser = random.Random(1)
        arrivals = [(10 + n / 2, chooser.randrange(121)) for n in range(240)]
        served = self.play(QuotaLimit(2.0, 2.0), 121, arrivals)
        assert len(served) == len(arrivals)

    def test_one_instance_uses_the_whole_limit(self):
        arrivals = [(10 + n / 50, 7) for n in range(3000)]
        served = self.play(QuotaLimit(50.0, 10.0), 121, arrivals)
        assert len(served) == len(arrivals)

    @pytest.mark.parametrize("instances", [1, 2, 121])
    def test_demand_above_the_limit_gets_the_whole_limit(self, instances):
        """Tokens that expire unused would lower the rate that is served."""
        limit = QuotaLimit(50.0, 25.0)
        chooser = random.Random(2)
        arrivals = [
            (10 + n / 200, chooser.randrange(instances)) for n in range(6000)
        ]
        served = self.play(limit, instances, arrivals)
        assert len(served) >= 0.97 * 50 * 30
        assert len(served) <= 50 * 30.5 + 25

    def test_random_arrivals_at_half_the_limit_are_all_served(self):
        chooser = random.Random(3)
        now_s, arrivals = 10.0, []
        while now_s < 70:
            now_s += chooser.expovariate(100.0)
            arrivals.append((now_s, int(chooser.random() ** 3 * 121)))
        served = self.play(QuotaLimit(200.0, 50.0), 121, arrivals)
        assert len(served) == len(arrivals)


class TestRetryAfter:
    def test_a_refused_request_gets_a_token_when_it_returns(self):
        bucket = QuotaBucket(QuotaLimit(4.0, 0.0), WITHOUT_SLACK, 0.0, 0.0)
        assert bucket.grant(1, 0, 1, 10.0).tokens == 1
        refused = bucket.grant(3, 0, 2, 10.0)
        assert refused.tokens == 0
        later_s = 10.0 + refused.retry_s
        assert bucket.grant(1, 0, 3, later_s - 0.01).tokens == 0
        assert bucket.grant(1, 0, 4, later_s).tokens == 1

    def test_refused_requests_return_one_after_the_other(self):
        bucket = QuotaBucket(QuotaLimit(4.0, 0.0), WITHOUT_SLACK, 0.0, 0.0)
        bucket.grant(1, 0, 1, 10.0)
        waits = [bucket.grant(1, 0, n, 10.0).retry_s for n in range(2, 6)]
        assert waits == pytest.approx([0.25, 0.5, 0.75, 1.0])

    # Guards against calls by all instances for each single token.
    def test_an_account_refuses_without_a_call_until_its_turn(self):
        limit = QuotaLimit(4.0, 1.0)
        account = QuotaAccount(NAME, RULES)
        account.add("e1", Grant(0, 1, 0.5, 0.25), 10.0)
        waits = [account.find_retry(limit, 10.0) for _ in range(3)]
        assert waits == pytest.approx([0.5, 0.75, 1.0])
        assert account.find_retry(limit, 10.49) is not None
        assert account.find_retry(limit, 10.5) is None

    def test_it_is_bounded_in_a_flood(self):
        bucket = QuotaBucket(QuotaLimit(1.0, 1.0), RULES, 0.0, 0.0)
        for number in range(100):
            grant = bucket.grant(1, 0, number, 10.0)
        assert grant.retry_s == RULES.window_s


class TestReturnedTokens:
    def test_valid_tokens_return_to_the_bucket_once(self):
        bucket = QuotaBucket(QuotaLimit(0.1, 10.0), RULES, -100.0, -100.0)
        assert bucket.grant(4, 0, 1, 0.0).tokens == 4
        assert bucket.take_back(1, 2, 0.1) == 2
        assert bucket.take_back(1, 2, 0.1) == 0
        assert bucket.take_back(1, 9, 0.1) == 2

    def test_tokens_of_an_expired_grant_are_lost(self):
        bucket = QuotaBucket(QuotaLimit(0.1, 10.0), RULES, -100.0, -100.0)
        bucket.grant(4, 0, 1, 0.0)
        assert bucket.take_back(1, 4, RULES.validity_s) == 0

    def test_an_account_spends_a_returned_token_again_while_valid(self):
        account = QuotaAccount(NAME, RULES)
        account.add("e1", Grant(1, 1), 0.0)
        token = account.spend(0.1)
        assert account.put_back(token, 0.2)
        assert account.spend(0.3) == token
        assert not account.put_back(token, 0.5)

    def test_an_account_reports_how_many_tokens_it_has_returned(self):
        account = QuotaAccount(NAME, RULES)
        account.add("e1", Grant(3, 1), 0.0)
        tokens = [account.spend(0.1) for _ in range(3)]
        for token in tokens[:2]:
            account.put_back(token, 0.2)
        assert account.take_returned(0.2) == {tokens[0]: 2}
        account.put_back(tokens[2], 0.3)
        assert account.take_returned(0.3) == {tokens[0]: 3}


class TestOwnership:
    def test_all_instances_agree_and_follow_changes(self):
        names = [f"e{number}" for number in range(9)]
        first = QuotaOwnership("e0", 0.0)
        first.set_members(names, 0.0)
        for number in range(50):
            first.find(str(number))
        first.set_members(names[:4] + ["e10"], 1.0)
        late = QuotaOwnership("e1", 0.0)
        late.set_members(names[:4] + ["e10"], 2.0)
        for number in range(50):
            entry = first.find(str(number))
            assert entry.name == late.find(str(number)).name
            assert entry.name == first.list_order(str(number))[0]

    def test_an_unrelated_change_leaves_an_owner_its_rate(self):
        names = [f"e{number}" for number in range(9)]
        ownership = QuotaOwnership("e0", 0.0)
        ownership.set_members(names, 0.0)
        owner = ownership.find(NAME).name
        other = next(n for n in names if n != owner)
        ownership.set_members(set(names) - {other}, 5.0)
        assert ownership.find(NAME).since_s == 0.0

    def test_a_changed_weight_leaves_an_owner_its_rate(self):
        names = [f"e{number}" for number in range(9)]
        ownership = QuotaOwnership("e0", 0.0)
        ownership.set_members(names, 0.0)
        owner = ownership.find(NAME).name
        weights = {name: 1.0 if name == owner else 0.5 for name in names}
        ownership.set_members(names, 5.0, weights.get)
        assert ownership.find(NAME).name == owner
        assert ownership.find(NAME).since_s == 0.0
        ownership.set_members(names, 6.0, lambda name: 0.25)
        assert ownership.find(NAME).name == owner
        assert ownership.find(NAME).since_s == 0.0

    def test_small_instances_own_as_few_quotas_as_their_weight_says(self):
        names = [f"e{number}" for number in range(12)]
        ownership = QuotaOwnership("e0", 0.0)
        ownership.set_members(
            names, 0.0, lambda name: 1.0 if name in ("e0", "e1") else 0.05
        )
        owners = [ownership.find(str(number)).name for number in range(500)]
        large = sum(name in ("e0", "e1") for name in owners)
        assert 350 <= large <= 450


class TestChangeOfOwner:
    LIMIT = QuotaLimit(10.0, 10.0)

    def change_owner(self, now_s):
        """Remove the owner; return it and the next one."""
        instances = make_instances(3, self.LIMIT)
        names = instances["e0"].ownership.list_order(NAME)
        old, new = instances[names[0]], instances[names[1]]
        for instance in (old, new):
            instance.owner.seen_s = now_s
        assert old.ask(self.LIMIT, 4, 0, now_s).tokens == 4
        for instance in (old, new):
            instance.owner.set_members(names[1:], now_s)
        return old, new

    def test_a_handover_costs_nothing(self):
        old, new = self.change_owner(20.0)
        (handover,) = old.owner.take_handovers(20.0)
        assert handover == Handover(NAME, 16.5, new.name)
        assert new.owner.adopt(NAME, handover.level, "1", 20.0)
        assert new.ask(self.LIMIT, 20, 0, 20.0).tokens == 16
        assert new.ask(self.LIMIT, 20, 0, 20.3).tokens == 3

    def test_a_quota_that_nobody_used_is_handed_over_as_well(self):
        instances = make_instances(3, self.LIMIT)
        names = instances["e0"].ownership.list_order(NAME)
        old = instances[names[0]]
        old.owner.seen_s = 20.0
        old.owner.set_members(names[1:], 20.0)
        assert old.owner.take_handovers(20.0) == [
            Handover(NAME, 20.5, names[1])
        ]

    def test_without_a_handover_a_tenth_is_granted_for_one_window(self):
        _, new = self.change_owner(20.0)
        assert new.ask(self.LIMIT, 9, 0, 20.0).tokens == 0
        granted = 0
        for tenth in range(1, 50):
            granted += new.ask(self.LIMIT, 1, 0, 20.0 + tenth / 10).tokens
        assert granted == 4
        granted = 0
        for tenth in range(50, 71):
            granted += new.ask(self.LIMIT, 9, 0, 20.0 + tenth / 10).tokens
        assert granted >= 20

    def test_the_old_owner_grants_a_tenth_after_its_handover(self):
        old, _ = self.change_owner(20.0)
        old.owner.take_handovers(20.0)
        granted = sum(
            old.ask(self.LIMIT, 9, 0, 20.0 + n / 10).tokens for n in range(11)
        )
        assert granted <= 2

    def test_a_duplicate_of_a_handover_is_ignored(self):
        _, new = self.change_owner(20.0)
        assert new.owner.adopt(NAME, 6.0, "1", 20.0)
        assert new.ask(self.LIMIT, 6, 0, 20.0).tokens == 6
        assert not new.owner.adopt(NAME, 6.0, "1", 20.1)

    def test_an_owner_that_was_paused_starts_as_a_new_one(self):
        instances = make_instances(1, self.LIMIT)
        owner = instances["e0"]
        for tenth in range(100):
            owner.owner.advance(tenth / 10)
        assert owner.ask(self.LIMIT, 1, 0, 10.0).tokens == 1
        assert owner.ask(self.LIMIT, 1, 0, 20.0).tokens == 0
        assert not owner.owner.adopt(NAME, 9.0, "1", 20.1)


class TestRestart:
    """After a loss of all instances, every owner is a new process."""

    LIMIT = QuotaLimit(10.0, 10.0)

    # Guards against refusals for a whole window after such a loss.
    def test_a_new_process_grants_the_whole_rate_after_the_startup(self):
        owner = make_instances(1, self.LIMIT, 50.0)["e0"].owner
        granted = 0
        for tenth in range(1, 45):
            now_s = 50.0 + tenth / 10
            granted += owner.grant(NAME, self.LIMIT, 9, 0, now_s).tokens
        assert 35 <= granted <= 1 * 0.5 + 10 * 4 + 1

    def test_tokens_of_the_ended_process_and_its_own_stay_in_the_limit(self):
        granted = 0
        for start_s in (0.0, 20.0):
            owner = make_instances(1, self.LIMIT, start_s)["e0"].owner
            for tenth in range(1, 190):
                now_s = start_s + tenth / 10
                tokens = owner.grant(NAME, self.LIMIT, 99, 0, now_s).tokens
                if 16.0 <= now_s < 21.0 + RULES.validity_s:
                    granted += tokens
        assert granted <= (10 * 5 + 10) * 1.1 + 20

    def test_an_owner_of_long_standing_that_takes_over_waits_a_window(self):
        instances = make_instances(3, self.LIMIT)
        names = instances["e0"].ownership.list_order(NAME)
        new = instances[names[1]]
        new.owner.seen_s = 20.0
        new.owner.set_members(names[1:], 20.0)
        bucket = new.owner.find_bucket(NAME, self.LIMIT, 20.0)
        assert bucket.full_rate_s == 20.0 + RULES.window_s


class TestChangeOfLimit:
    def test_a_lower_limit_applies_to_the_bucket_at_once(self):
        limit = QuotaLimit(50.0, 100.0)
        owner = make_instances(1, limit)["e0"].owner
        owner.seen_s = 60.0
        assert owner.grant(NAME, limit, 1, 0, 60.0).tokens == 1
        lower = QuotaLimit(5.0, 3.0)
        owner.set_limits({NAME: lower}, 60.0)
        assert owner.grant(NAME, lower, 90, 0, 60.0).tokens == 13
        assert owner.grant(NAME, lower, 90, 0, 61.0).tokens == 5


@dataclass(frozen=True)
class Message:
    """A message between two instances.

    :param kind: name of the method that receives it.
    :param target: the receiver.
    :param fields: further arguments.
    """

    kind: str
    target: str
    fields: tuple


class QuotaStateMachine(RuleBasedStateMachine):
    """Instances with lost, late and duplicated messages and two owners."""

    @initialize(
        rate=strategies.sampled_from([1.0, 8.0, 40.0, 300.0]),
        burst=strategies.sampled_from([0.0, 3.0, 60.0, 400.0]),
        slack=strategies.sampled_from([1.0, 20.0]),
    )
    def start(self, rate, burst, slack):
        self.now = 100.0
        self.rules = QuotaRules(slack=slack)
        self.limit = QuotaLimit(rate, burst)
        self.limits = [(self.now, self.limit)]
        self.instances = make_instances(4, self.limit, self.now, self.rules)
        self.members = set(self.instances)
        self.changed_s = self.now - 60.0
        for instance in self.instances.values():
            entry = instance.ownership.find(NAME)
            entry.since_s = instance.ownership.changed_s = self.now - 60.0
        self.paused = {}
        self.dead = set()
        self.messages = []
        self.spent = []
        self.number = 0

    def runs(self, name):
        """Tell whether an instance runs now."""
        return name not in self.dead and name not in self.paused

    def pick(self, index):
        """Pick an instance that runs."""
        running = [n for n in self.instances if self.runs(n)]
        return self.instances[running[index % len(running)]]

    def agree(self):
        """Tell whether all instances that run know the members."""
        return all(
            i.ownership.members == self.members
            for n, i in self.instances.items()
            if n not in self.dead
        )

    def learn(self, instance):
        """Let an instance know the members, and hand over what it lost."""
        instance.owner.set_members(self.members, self.now)
        for handover in instance.owner.take_handovers(self.now):
            self.number += 1
            fields = (handover.level, str(self.number))
            self.messages.append(Message("adopt", handover.target, fields))

    @rule(
        ticks=strategies.integers(5, 60),
        demand=strategies.sampled_from([0, 3, 1000, 1000]),
        seed=strategies.integers(0, 2**32),
    )
    def play(self, ticks, demand, seed):
        """Let all instances ask; messages are late, lost or duplicated."""
        chooser = random.Random(seed)
        second = chooser.random() < 0.5
        loss = chooser.choice([0.0, 0.0, 0.1])
        refusals = chooser.choice([0, 1, 30])
        # Tokens may be kept for long before they are spent.
        self.spending = chooser.choice([0.02, 1.0])
        for _ in range(ticks):
            self.advance(1)
            if not demand:
                continue
            for index in range(len(self.instances)):
                if chooser.random() < 0.7:
                    reached = not (second and index % 2)
                    self.ask(index, demand, demand, not reached)
                if chooser.random() < self.spending:
                    self.spend(index, 1000)
                for _ in range(refusals if self.spent else 0):
                    self.refuse(chooser.randrange(9999))
            for _ in range(len(self.messages)):
                if self.messages and chooser.random() < 0.9:
                    index = chooser.randrange(len(self.messages))
                    if chooser.random() < loss:
                        del self.messages[index]
                    else:
                        self.deliver(index, chooser.random() < 0.2)
            self.never_exceeds_the_limit()

    def advance(self, ticks):
        for _ in range(ticks):
            self.now += TICK_S
            for name in [n for n, s in self.paused.items() if s <= self.now]:
                del self.paused[name]
            for name, instance in self.instances.items():
                if not self.runs(name):
                    continue
                instance.owner.advance(self.now)
                # The failure detector takes at most this long.
                if self.now - self.changed_s > 3.5:
                    self.learn(instance)
                instance.owner.take_handovers(self.now)

    def ask(self, index, waiting, expected, second):
        asking = self.pick(index)
        order = asking.ownership.list_order(NAME)
        # An owner that one instance does not reach makes a second owner.
        second = second and self.agree() and self.now - self.changed_s > 6
        target = order[1] if second and len(order) > 1 else order[0]
        fields = (asking.name, waiting, expected, self.now)
        self.messages.append(Message("grant", target, fields))

    def deliver(self, index, duplicate):
        position = index % len(self.messages)
        message = self.messages[position]
        if message.target in self.paused:
            return
        # A duplicate of a request is a second request, which the protocol
        # below never sends; answers, returns and handovers are repeated.
        if not duplicate or message.kind == "grant":
            del self.messages[position]
        if self.runs(message.target):
            receive = getattr(self, f"receive_{message.kind}")
            receive(self.instances[message.target], *message.fields)

    def receive_grant(self, owner, asking, waiting, expected, sent_s):
        grant = owner.ask(self.limit, waiting, expected, self.now)
        fields = (owner.name, grant, sent_s, waiting)
        self.messages.append(Message("answer", asking, fields))

    def receive_answer(self, instance, owner, grant, sent_s, waiting):
        # An answer is read once: the exchange over HTTP has ended then.
        self.messages = [
            m
            for m in self.messages
            if m.kind != "answer" or m.fields[1] is not grant
        ]
        instance.account.add(owner, grant, sent_s)
        if self.spending == 1.0:
            self.spend_tokens(instance, waiting)

    def receive_adopt(self, instance, level, number):
        instance.owner.adopt(NAME, level, number, self.now)

    def receive_returned(self, instance, number, total):
        instance.owner.take_back(NAME, number, total, self.now)

    def spend_tokens(self, instance, limit):
        for _ in range(limit):
            token = instance.account.spend(self.now)
            if token is None:
                return
            self.spent.append((self.now, instance.name, token))

    def spend(self, index, limit):
        self.spend_tokens(self.pick(index), limit)

    def refuse(self, index):
        """Return the token of a request that reached no endpoint."""
        if not self.spent:
            return
        position = len(self.spent) - 1 - index % min(20, len(self.spent))
        _, name, token = self.spent[position]
        if not self.runs(name):
            return
        instance = self.instances[name]
        if not instance.account.put_back(token, self.now):
            return
        del self.spent[position]
        if index % 2:
            return
        returned = instance.account.take_returned(self.now)
        for token, total in returned.items():
            fields = (token.number, total)
            self.messages.append(Message("returned", token.owner, fields))

    @precondition(lambda self: self.now - self.changed_s > 12)
    @rule(
        kill=strategies.booleans(),
        index=strategies.integers(0, 3),
        informed=strategies.sets(strategies.integers(0, 3), max_size=3),
        seed=strategies.integers(0, 2**32),
    )
    def change_members(self, kill, index, informed, seed):
        """Kill the owner, end it as planned, or let an instance join."""
        owner = self.pick(0).ownership.list_order(NAME)[0]
        absent = sorted(set(self.instances) - self.members - self.dead)
        self.changed_s = self.now
        if absent:
            self.members.add(absent[index % len(absent)])
        elif len(self.members) > 2:
            self.members.discard(owner)
            if kill:
                self.dead.add(owner)
        for number in informed:
            name = f"e{number}"
            if self.runs(name):
                self.learn(self.instances[name])
        if seed % 2:
            # The limit is used up at both owners.
            self.play(30, 1000, seed)

    @rule(index=strategies.integers(0, 3))
    def learn_members(self, index):
        self.learn(self.pick(index))

    @precondition(lambda self: not self.paused)
    @rule(
        index=strategies.integers(0, 3),
        pause_s=strategies.sampled_from([0.3, 1.0, 3.0]),
    )
    def pause(self, index, pause_s):
        if len(self.dead) < 2:
            self.paused[self.pick(index).name] = self.now + pause_s

    @precondition(lambda self: self.now - self.limits[-1][0] > 15)
    @rule(factor=strategies.sampled_from([0.1, 0.5, 2.0]))
    def change_limit(self, factor):
        burst = min(400.0, self.limit.burst * factor)
        rate = min(300.0, max(0.5, self.limit.rate * factor))
        self.limits.append((self.now, self.limit))
        self.limit = replace(self.limit, rate=rate, burst=burst)
        self.limits.append((self.now, self.limit))
        for name, instance in self.instances.items():
            if name not in self.dead:
                instance.owner.set_limits({NAME: self.limit}, self.now)

    @invariant()
    def never_exceeds_the_limit(self):
        if not hasattr(self, "spent"):
            return
        start_s = self.now - self.rules.window_s
        number = sum(time_s > start_s for time_s, _, _ in self.spent)
        # A lower limit binds one window after 3 s to apply it.
        binding_s = start_s - 3.0
        recent = [limit for time_s, limit in self.limits if time_s > binding_s]
        recent.append(self.limit)
        allowed = max(
            limit.rate * self.rules.window_s + limit.burst for limit in recent
        )
        assert number <= (1 + self.rules.excess) * allowed + self.rules.slack


TestQuotaStateMachine = QuotaStateMachine.TestCase
TestQuotaStateMachine.settings = settings(
    max_examples=150, stateful_step_count=20, deadline=None
)
