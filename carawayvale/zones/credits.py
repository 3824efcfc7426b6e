"""Credits: each instance's part of a cap for one short epoch."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

from carawayvale.contracts.sections import Deployment
from carawayvale.contracts.sections import Link
from carawayvale.links.messages import CreditGrant

RANK_RESERVE = 0.2
NO_EPOCH = -(2**62)
JOIN_EPOCHS = 3


@dataclass(frozen=True)
class Allowance:
    """What one instance may spend of a cap.

    :param cap: requests in one epoch by all instances together.
    :param step: growth of the requests from one epoch to the next.
    :param divisor: number of instances that may spend.
    """

    cap: float
    step: float
    divisor: int


@dataclass
class CreditAccount:
    """Credits of one instance for one cap.

    Credits are valid in their epoch only. A new process waits some
    epochs, since the one that it replaces may have spent its share and
    their clocks may differ by up to an epoch each. Given credits are deducted
    before the grant is sent, so a lost grant loses them and none is
    spent twice.

    :param link: title of the cap's section and direction.
    :param epoch_s: length of an epoch in seconds.

    >>> account = CreditAccount("link:a-b/a", 1.0)
    >>> for epoch in range(4, 8):
    ...     account.open(epoch, Allowance(cap=2, step=2, divisor=2))
    >>> account.spend(7, 0), account.spend(7, 0), account.spend(8, 0)
    (True, False, False)
    """

    link: str
    epoch_s: float
    epoch: int = NO_EPOCH
    first_epoch: int = NO_EPOCH
    credits: int = 0
    spent: int = 0
    serial: int = 0
    seen: dict[str, int] = field(default_factory=dict)

    def find_epoch(self, now_s: float) -> int:
        """Find the epoch of a time.

        :param now_s: the process's clock.
        :returns: number of the epoch.
        """
        return math.floor(now_s / self.epoch_s)

    def open(self, epoch: int, allowance: Allowance) -> None:
        """Begin an epoch with new credits.

        :param epoch: its number; an earlier one changes nothing.
        :param allowance: what this instance may spend.
        """
        if epoch <= self.epoch:
            return
        if self.epoch == NO_EPOCH:
            self.first_epoch = epoch + JOIN_EPOCHS
        before = self.spent if epoch == self.epoch + 1 else 0
        share = allowance.cap / allowance.divisor
        growth = allowance.step / allowance.divisor
        self.epoch = epoch
        self.spent = 0
        self.credits = int(min(share, before + growth))
        if epoch < self.first_epoch:
            self.credits = 0

    def spend(self, epoch: int, position: int) -> bool:
        """Spend one credit.

        :param epoch: the epoch of the present time.
        :param position: place of the request's rank, 0 for the most
            urgent; less urgent ranks leave a reserve.
        :returns: whether there was one to spend.
        """
        if epoch != self.epoch or self.credits < 1:
            return False
        total = self.credits + self.spent
        if self.credits <= math.floor(RANK_RESERVE * position * total):
            return False
        self.credits -= 1
        self.spent += 1
        return True

    def give(self, epoch: int, credits: int) -> CreditGrant | None:
        """Deduct credits for a peer.

        :param epoch: the epoch of the present time.
        :param credits: how many to give.
        :returns: the message, or None without enough credits.
        """
        if epoch != self.epoch or not 0 < credits <= self.credits:
            return None
        self.credits -= credits
        self.serial += 1
        return CreditGrant(self.link, epoch, credits, self.serial)

    def accept(self, sender: str, grant: CreditGrant, epoch: int) -> bool:
        """Take credits that a peer gave.

        :param sender: name and incarnation of the peer.
        :param grant: its message.
        :param epoch: the epoch of the present time.
        :returns: whether the credits were taken.
        """
        if grant.link != self.link or epoch != self.epoch:
            return False
        if grant.epoch != epoch or grant.serial <= self.seen.get(sender, 0):
            return False
        self.seen[sender] = grant.serial
        self.credits += grant.credits
        return True


@dataclass(frozen=True)
class Direction:
    """A link between two regions in one direction."""

    source: str
    target: str


class ShiftCreditTable:
    """The accounts of one instance for all links and directions.

    :param deployment: values for the whole deployment.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.accounts: dict[Direction, CreditAccount] = {}
        self.links: dict[Direction, Link] = {}

    def update(self, deployment: Deployment, links: Iterable[Link]) -> None:
        """Take over changed links.

        :param deployment: values for the whole deployment.
        :param links: the links of the document in force.
        """
        self.deployment = deployment
        self.links = {}
        for link in links:
            first, second = link.regions
            for pair in ((first, second), (second, first)):
                self.links[Direction(*pair)] = link
        for direction, link in self.links.items():
            account = self.accounts.get(direction)
            if account is None or account.epoch_s != deployment.epoch_s:
                title = f"link:{link.name}/{direction.source}"
                self.accounts[direction] = CreditAccount(
                    title, deployment.epoch_s
                )
        for direction in self.accounts.keys() - self.links.keys():
            del self.accounts[direction]

    def has_expired_epoch(self, now_s: float) -> bool:
        """Tell whether the epoch of any account is over.

        :param now_s: the process's clock.
        :returns: whether a new one must be opened.
        """
        return any(
            account.find_epoch(now_s) != account.epoch
            for account in self.accounts.values()
        )

    def open_epochs(self, now_s: float, counts: Mapping[str, int]) -> None:
        """Begin a new epoch where the old one is over.

        Only instances of the target region spend, so only they divide
        the cap.

        :param now_s: the process's clock.
        :param counts: instances of each region that may spend.
        """
        epoch_s = self.deployment.epoch_s
        for direction, account in self.accounts.items():
            link = self.links[direction]
            divisor = counts.get(direction.target, 0)
            allowance = Allowance(
                link.cap_rps * epoch_s,
                link.step_rps * epoch_s,
                max(1, divisor),
            )
            account.open(account.find_epoch(now_s), allowance)

    def spend(
        self, source: str, target: str, position: int, now_s: float
    ) -> bool:
        """Spend one credit for a shifted request.

        :param source: home region of the request.
        :param target: region that serves it.
        :param position: place of its rank, 0 for the most urgent.
        :param now_s: the process's clock.
        :returns: whether the request may be shifted.
        """
        account = self.accounts.get(Direction(source, target))
        if account is None:
            return False
        return account.spend(account.find_epoch(now_s), position)
