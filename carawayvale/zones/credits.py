"""Shift credits: each instance's share of a link's cap in one epoch."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

from carawayvale.contracts.sections import Deployment
from carawayvale.contracts.sections import Link
from carawayvale.links.document_messages import CreditGrant

# Share of an epoch's credits that a request leaves unspent for each
# rank that is more urgent than its own.
RESERVED_SHARE_PER_RANK = 0.2

# Epoch of an account that has opened no epoch; less than any other.
NO_EPOCH = -(2**62)

# Number of epochs that a new process waits before it spends credits.
STARTUP_WAIT_EPOCHS = 3


@dataclass(frozen=True)
class CapShare:
    """A cap and the number of instances that share it equally.

    :param cap: requests in one epoch by all instances together.
    :param growth: largest growth of the requests from one epoch to the
        next by all instances together.
    :param instances: number of instances that may spend credits.
    """

    cap: float
    growth: float
    instances: int


@dataclass
class CreditAccount:
    """Credits of one instance for one cap.

    Credits are valid in their epoch only. A new process waits
    ``STARTUP_WAIT_EPOCHS`` epochs before it spends, since the process
    that it replaces may have spent its share and the clock of each may
    be wrong by up to one epoch. Credits granted to a peer are deducted
    before the grant is sent: if the grant is lost, its credits are lost
    too, but no credit is spent twice.

    :param cap_name: name of the cap, see :class:`ShiftCreditTable`.
    :param epoch_s: length of an epoch in seconds.
    :param epoch: number of the current epoch.
    :param first_epoch: first epoch in which the account has credits.
    :param credits: credits left in the current epoch.
    :param spent: credits spent in the current epoch.
    :param sent_serial: serial number of the last grant sent.
    :param received_serials: serial number of the last accepted grant of
        each peer process.

    >>> account = CreditAccount("link:a-b/a", 1.0)
    >>> for epoch in range(4, 8):
    ...     account.open_epoch(epoch, CapShare(cap=2, growth=2, instances=2))
    >>> account.spend(7, 0), account.spend(7, 0), account.spend(8, 0)
    (True, False, False)
    """

    cap_name: str
    epoch_s: float
    epoch: int = NO_EPOCH
    first_epoch: int = NO_EPOCH
    credits: int = 0
    spent: int = 0
    sent_serial: int = 0
    received_serials: dict[str, int] = field(default_factory=dict)

    def find_epoch(self, now_s: float) -> int:
        """Find the epoch that contains a time.

        :param now_s: time by the clock of the process.
        :returns: number of the epoch.
        """
        return math.floor(now_s / self.epoch_s)

    def open_epoch(self, epoch: int, share: CapShare) -> None:
        """Start an epoch with new credits.

        The credits are this instance's share of the cap, and at most
        the credits spent in the previous epoch plus this instance's
        share of the growth.

        :param epoch: number of the epoch. A number that is not greater
            than the current one changes nothing.
        :param share: the cap and the number of instances that share it.
        """
        if epoch <= self.epoch:
            return
        if self.epoch == NO_EPOCH:
            self.first_epoch = epoch + STARTUP_WAIT_EPOCHS
        spent_before = self.spent if epoch == self.epoch + 1 else 0
        limit = share.cap / share.instances
        growth = share.growth / share.instances
        self.epoch = epoch
        self.spent = 0
        self.credits = int(min(limit, spent_before + growth))
        if epoch < self.first_epoch:
            self.credits = 0

    def spend(self, epoch: int, position: int) -> bool:
        """Spend one credit if the request's rank may use it.

        :param epoch: number of the epoch at the current time.
        :param position: position of the request's rank, 0 for the most
            urgent. Less urgent ranks leave a reserve for more urgent
            ones.
        :returns: whether a credit was spent.
        """
        if epoch != self.epoch or self.credits < 1:
            return False
        total = self.credits + self.spent
        if self.credits <= math.floor(
            RESERVED_SHARE_PER_RANK * position * total
        ):
            return False
        self.credits -= 1
        self.spent += 1
        return True

    def grant(self, epoch: int, credits: int) -> CreditGrant | None:
        """Deduct credits and grant them to a peer.

        :param epoch: number of the epoch at the current time.
        :param credits: number of credits to grant.
        :returns: the message for the peer, or None if the account has
            too few credits.
        """
        if epoch != self.epoch or not 0 < credits <= self.credits:
            return None
        self.credits -= credits
        self.sent_serial += 1
        return CreditGrant(self.cap_name, epoch, credits, self.sent_serial)

    def accept(self, sender: str, grant: CreditGrant, epoch: int) -> bool:
        """Add the credits of a peer's grant.

        A grant for another cap or epoch is ignored, and so is one that
        arrives again or after a later grant of the same peer.

        :param sender: name and incarnation of the peer.
        :param grant: the peer's message.
        :param epoch: number of the epoch at the current time.
        :returns: whether the credits were added.
        """
        if grant.cap_name != self.cap_name or epoch != self.epoch:
            return False
        if grant.epoch != epoch or grant.serial <= self.received_serials.get(
            sender, 0
        ):
            return False
        self.received_serials[sender] = grant.serial
        self.credits += grant.credits
        return True


@dataclass(frozen=True)
class LinkDirection:
    """One direction of a link between two regions.

    :param source: home region of the shifted requests.
    :param target: region that serves them.
    """

    source: str
    target: str


class ShiftCreditTable:
    """Credit accounts of one instance for each direction of each link.

    The cap of a direction is named ``link:LINK/SOURCE``, with the name
    of the link and the source region.

    :param deployment: settings of the whole deployment.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.accounts: dict[LinkDirection, CreditAccount] = {}
        self.links: dict[LinkDirection, Link] = {}

    def update(self, deployment: Deployment, links: Iterable[Link]) -> None:
        """Add and remove accounts so that they match the links.

        An account is kept unless its link is removed or the length of
        an epoch changes.

        :param deployment: settings of the whole deployment.
        :param links: the links of the document in force.
        """
        self.deployment = deployment
        self.links = {}
        for link in links:
            first, second = link.regions
            for pair in ((first, second), (second, first)):
                self.links[LinkDirection(*pair)] = link
        for direction, link in self.links.items():
            account = self.accounts.get(direction)
            if account is None or account.epoch_s != deployment.epoch_s:
                cap_name = f"link:{link.name}/{direction.source}"
                self.accounts[direction] = CreditAccount(
                    cap_name, deployment.epoch_s
                )
        for direction in self.accounts.keys() - self.links.keys():
            del self.accounts[direction]

    def has_expired_epoch(self, now_s: float) -> bool:
        """Tell whether the epoch of any account is over.

        :param now_s: time by the clock of the process.
        :returns: whether a new epoch must be opened.
        """
        return any(
            account.find_epoch(now_s) != account.epoch
            for account in self.accounts.values()
        )

    def open_epochs(self, now_s: float, counts: Mapping[str, int]) -> None:
        """Start a new epoch in each account whose epoch is over.

        Only instances of the target region spend credits, so the cap is
        divided by their number.

        :param now_s: time by the clock of the process.
        :param counts: number of instances that may spend, by region.
        """
        epoch_s = self.deployment.epoch_s
        for direction, account in self.accounts.items():
            link = self.links[direction]
            instances = counts.get(direction.target, 0)
            share = CapShare(
                link.cap_rps * epoch_s,
                link.step_rps * epoch_s,
                max(1, instances),
            )
            account.open_epoch(account.find_epoch(now_s), share)

    def spend(
        self, source: str, target: str, position: int, now_s: float
    ) -> bool:
        """Spend one credit for a shifted request.

        :param source: home region of the request.
        :param target: region that serves the request.
        :param position: position of the request's rank, 0 for the most
            urgent.
        :param now_s: time by the clock of the process.
        :returns: whether the request may be shifted.
        """
        account = self.accounts.get(LinkDirection(source, target))
        if account is None:
            return False
        return account.spend(account.find_epoch(now_s), position)
