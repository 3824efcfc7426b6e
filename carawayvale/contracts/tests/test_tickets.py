"""Unit tests and a state machine test of submission tickets."""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies
import pytest

from carawayvale.contracts import BadTicket
from carawayvale.contracts import ClaimResult
from carawayvale.contracts import decode_ticket
from carawayvale.contracts import encode_ticket
from carawayvale.contracts import issue_ticket
from carawayvale.contracts import Phase
from carawayvale.contracts import RecordedResponse
from carawayvale.contracts import Ticket
from carawayvale.contracts import TicketLedger
from carawayvale.contracts.tickets import GRACE_S

KEY = b"k" * 16
NAMES = ("e1", "e2")


class TestTicketEncoding:
    def test_decoded_ticket_equals_the_encoded_one(self):
        ticket = issue_ticket("e1", 7, 12.5)
        assert decode_ticket(encode_ticket(ticket, KEY), KEY) == ticket

    def test_ticket_with_wrong_signature_is_rejected(self):
        text = encode_ticket(issue_ticket("e1", 7, 12.5), b"x" * 16)
        with pytest.raises(BadTicket):
            decode_ticket(text, KEY)

    @pytest.mark.parametrize("text", ["", "A", "?", "AAAA", "a" * 500])
    def test_malformed_ticket_is_rejected(self, text):
        with pytest.raises(BadTicket):
            decode_ticket(text, KEY)


class TestTicketLedger:
    def test_ticket_of_another_incarnation_is_unknown(self):
        ledger = TicketLedger("e1", 2)
        assert ledger.claim(Ticket("e1", 1, 9, b"a"), 0) is ClaimResult.UNKNOWN

    def test_submission_that_has_not_run_may_be_claimed_again(self):
        ledger = TicketLedger("e1", 1)
        ticket = Ticket("e1", 1, 9, b"a")
        ledger.claim(ticket, 0)
        ledger.finish(ticket, Phase.NOT_RUN)
        assert ledger.claim(ticket, 1) is ClaimResult.RUN

    def test_expired_submission_that_has_not_run_is_not_claimed_again(self):
        ledger = TicketLedger("e1", 1)
        ticket = Ticket("e1", 1, 9, b"a")
        ledger.claim(ticket, 0)
        ledger.finish(ticket, Phase.NOT_RUN)
        assert ledger.claim(ticket, 9) is ClaimResult.NOT_RUN

    def test_response_is_recorded(self):
        ledger = TicketLedger("e1", 1)
        ticket = Ticket("e1", 1, 9, b"a")
        ledger.claim(ticket, 0)
        ledger.finish(ticket, Phase.DONE, RecordedResponse(200, (), b"ok"))
        assert ledger.claim(ticket, 8) is ClaimResult.DONE
        assert ledger.find_response(ticket).body == b"ok"

    def test_submission_does_not_start_after_expiry(self):
        ledger = TicketLedger("e1", 1)
        ticket = Ticket("e1", 1, 9, b"a")
        ledger.claim(ticket, 0)
        assert not ledger.start(ticket, 9)

    def test_full_ledger_rejects_and_keeps_valid_submissions(self):
        ledger = TicketLedger("e1", 1, capacity=1)
        first = Ticket("e1", 1, 9, b"a")
        ledger.claim(first, 0)
        ledger.finish(first, Phase.DONE, RecordedResponse(200))
        assert ledger.claim(Ticket("e1", 1, 9, b"b"), 1) is ClaimResult.FULL
        assert ledger.claim(first, 1) is ClaimResult.DONE

    def test_kept_response_bodies_are_bounded(self):
        ledger = TicketLedger("e1", 1, max_kept_bytes=5000)
        bodies = []
        for number, size in enumerate((5000, 3000, 3000, 2000)):
            ticket = Ticket("e1", 1, 9, bytes([number]))
            ledger.claim(ticket, 0)
            ledger.finish(
                ticket, Phase.DONE, RecordedResponse(200, (), b"x" * size)
            )
            bodies.append(len(ledger.find_response(ticket).body or b""))
        assert bodies == [0, 3000, 0, 2000]
        ledger.claim(Ticket("e1", 1, 200, b"new"), 9 + GRACE_S)
        assert ledger.kept_bytes == 0

    def test_ticket_with_too_long_validity_is_not_accepted(self):
        ledger = TicketLedger("e1", 1, max_ttl_s=10)
        ticket = Ticket("e1", 1, 1e9, b"a")
        assert ledger.claim(ticket, 0) is ClaimResult.NOT_RUN

    def test_unrecorded_ticket_is_unknown_after_the_grace_period(self):
        ledger = TicketLedger("e1", 1)
        ticket = Ticket("e1", 1, 9, b"a")
        assert ledger.claim(ticket, 9 + GRACE_S) is ClaimResult.UNKNOWN


class TicketMachine(RuleBasedStateMachine):
    """State machine that checks that no submission runs twice.

    Entry instances restart and pause; callers retry submissions.
    """

    @initialize()
    def start(self):
        self.now_s = 0.0
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.ledgers = {n: TicketLedger(n, 1, 3, 40.0) for n in NAMES}
        self.tickets = []
        self.claimed = []
        self.sent = []
        self.runs = {}

    @rule(
        name=strategies.sampled_from(NAMES),
        ttl=strategies.sampled_from([1.0, 30.0, 150.0]),
    )
    def issue(self, name, ttl):
        ticket = issue_ticket(name, self.incarnations[name], self.now_s + ttl)
        self.tickets.append(ticket)

    @precondition(lambda self: self.tickets)
    @rule(data=strategies.data(), name=strategies.sampled_from(NAMES))
    def submit(self, data, name):
        ticket = data.draw(strategies.sampled_from(self.tickets))
        claim = self.ledgers[name].claim(ticket, self.now_s)
        if claim is ClaimResult.RUN:
            self.claimed.append((self.ledgers[name], ticket))
        if claim is ClaimResult.NOT_RUN:
            assert not self.runs.get(ticket.ticket_id)
        if claim is ClaimResult.DONE:
            assert self.runs[ticket.ticket_id] == 1

    @precondition(lambda self: self.claimed)
    @rule(data=strategies.data(), rejected=strategies.booleans())
    def send(self, data, rejected):
        pair = data.draw(strategies.sampled_from(self.claimed))
        self.claimed.remove(pair)
        ledger, ticket = pair
        if not ledger.start(ticket, self.now_s):
            ledger.finish(ticket, Phase.NOT_RUN)
        elif rejected:
            ledger.revert_start(ticket)
            ledger.finish(ticket, Phase.NOT_RUN)
        else:
            runs = self.runs.get(ticket.ticket_id, 0)
            self.runs[ticket.ticket_id] = runs + 1
            self.sent.append(pair)

    @precondition(lambda self: self.sent)
    @rule(data=strategies.data(), responded=strategies.booleans())
    def finish(self, data, responded):
        pair = data.draw(strategies.sampled_from(self.sent))
        self.sent.remove(pair)
        ledger, ticket = pair
        phase = Phase.DONE if responded else Phase.UNKNOWN
        ledger.finish(ticket, phase, RecordedResponse(200))

    @rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        self.incarnations[name] += 1
        previous = self.ledgers[name]
        self.claimed = [p for p in self.claimed if p[0] is not previous]
        self.sent = [p for p in self.sent if p[0] is not previous]
        incarnation = self.incarnations[name]
        self.ledgers[name] = TicketLedger(name, incarnation, 3, 40.0)

    @rule(seconds=strategies.sampled_from([0.5, 10.0, 101.0]))
    def pause(self, seconds):
        self.now_s += seconds

    @invariant()
    def no_submission_runs_twice(self):
        assert all(runs <= 1 for runs in getattr(self, "runs", {}).values())

    @invariant()
    def memory_is_bounded(self):
        for ledger in getattr(self, "ledgers", {}).values():
            assert len(ledger.entries) <= ledger.capacity


TestTicketMachine = TicketMachine.TestCase
TestTicketMachine.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
