"""Request tokens of organisations' quotas from their owners.

The calls go over the internal port. A header carries the kind of a call and
its numbers, the body the name of the organisation. A call asks for all
requests of its organisation that wait at this instance.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass

import curio

from carawayvale.capacity.own_delay import OwnDelay
from carawayvale.catalogue.records import OrganisationRecord
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.http_messages import Request
from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.observer import RequestObserver
from carawayvale.gateway.owner_messages import QUOTA_HEADER
from carawayvale.gateway.quota_messages import CallKind
from carawayvale.gateway.quota_messages import decode_grant
from carawayvale.gateway.quota_messages import encode_fields
from carawayvale.gateway.quota_messages import encode_grant
from carawayvale.gateway.quota_messages import SEPARATOR
from carawayvale.gateway.settings import Bounds
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import find_header
from carawayvale.links.membership import Membership
from carawayvale.links.messages import MemberRecord
from carawayvale.steering.quota_accounts import QuotaAccount
from carawayvale.steering.quota_accounts import QuotaToken
from carawayvale.steering.quota_buckets import Grant
from carawayvale.steering.quota_buckets import QuotaLimit
from carawayvale.steering.quota_buckets import QuotaRules
from carawayvale.steering.quota_owners import Handover
from carawayvale.steering.quota_owners import QuotaOwner
from carawayvale.steering.quota_owners import QuotaOwnership
from carawayvale.telemetry.logs import log_event

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
MAX_RESPONSE_BYTES = 1024

# Shorter than the validity of the tokens, and longer than a round trip
# between regions (40 ms) and the delay of a busy instance.
CALL_TIMEOUT_S = 0.3
# An instance that passes a call on to the owner waits less than its caller.
FORWARD_TIMEOUT_S = 0.2

# An instance that did not answer is not asked again for this long. The next
# one in the order may grant only a part of the rate meanwhile.
UNREACHABLE_BACKOFF_S = 0.5

# Maximum number of instances that are asked for one organisation in a row.
MAX_OWNERS = 3

# Maximum number of calls for which one request waits.
MAX_CALLS = 3

# Retry-After while the owner of a quota is not known.
UNKNOWN_RETRY_AFTER_S = 0.5

FindAddress = Callable[[str], Address | None]


@dataclass(frozen=True)
class QuotaRefusal:
    """Refusal of a request that gets no token.

    :param reason: ``quota``, or ``quota_unknown`` if no owner answered.
    :param retry_s: seconds after which the caller may retry.
    """

    reason: str
    retry_s: float


def find_limit(organisation: OrganisationRecord | None) -> QuotaLimit | None:
    """Find the limit of an organisation.

    :param organisation: the organisation, if there is one.
    :returns: the limit, or None.
    """
    if organisation is None or organisation.rate_per_s <= 0.0:
        return None
    return QuotaLimit(organisation.rate_per_s, organisation.burst)


class QuotaCalls:
    """Quotas of one instance, as their owner and as a user of tokens.

    :param membership: the member list.
    :param bounds: bounds of the deployment.
    :param pools: connections to other instances.
    :param find_address: finds the internal address of an instance.
    :param observer: records metrics.
    :param own_delay: tells whether this instance was behind.
    """

    def __init__(
        self,
        membership: Membership,
        bounds: Bounds,
        pools: ConnectionPools,
        find_address: FindAddress,
        observer: RequestObserver,
        own_delay: OwnDelay,
    ):
        self.membership = membership
        self.pools = pools
        self.find_address = find_address
        self.observer = observer
        self.own_delay = own_delay
        self.rules = QuotaRules(
            bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack
        )
        now_s = read_boot_clock()
        self.own_name = membership.own_record.name
        self.ownership = QuotaOwnership(self.own_name, now_s)
        self.owner = QuotaOwner(self.ownership, self.rules, now_s)
        self.accounts: dict[str, QuotaAccount] = {}
        self.backoff_until_s: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._calls: dict[str, curio.Task] = {}
        self._handovers = 0
        self._serving: tuple[MemberRecord, ...] = ()

    @property
    def is_active(self) -> bool:
        """Whether an organisation has a limit."""
        return bool(self.owner.limits)

    def set_organisations(
        self, organisations: Mapping[str, OrganisationRecord]
    ) -> None:
        """Apply the limits of a configuration.

        :param organisations: the organisations by name.
        """
        limits = {}
        for name, organisation in organisations.items():
            limit = find_limit(organisation)
            if limit is not None:
                limits[name] = limit
        now_s = read_boot_clock()
        self._follow_members(now_s)
        self.owner.set_limits(limits, now_s)
        for name in self.accounts.keys() - limits.keys():
            del self.accounts[name]

    async def acquire(
        self, organisation: OrganisationRecord
    ) -> QuotaToken | QuotaRefusal:
        """Acquire a token for a request of an organisation with a limit.

        :param organisation: the organisation.
        :returns: the token, or why there is none.
        """
        name, limit = organisation.name, find_limit(organisation)
        account = self._find_account(name)
        account.record_demand(read_boot_clock())
        token = account.spend(read_boot_clock())
        if token is not None:
            return self._count_token(token)
        if self.ownership.is_owner(name):
            return self._acquire_here(account, limit)
        retry_s = account.find_retry(limit, read_boot_clock())
        if retry_s is not None:
            return self._refuse("quota", retry_s)
        self._waiting[name] = self._waiting.get(name, 0) + 1
        try:
            for _ in range(MAX_CALLS):
                # The first call may have begun before this request waited.
                answered = await self._join_call(account, limit)
                token = account.spend(read_boot_clock())
                if token is not None:
                    return self._count_token(token)
                retry_s = account.find_retry(limit, read_boot_clock())
                if retry_s is not None:
                    return self._refuse("quota", retry_s)
                if not answered:
                    break
        finally:
            self._end_wait(name)
        return self._refuse("quota_unknown", UNKNOWN_RETRY_AFTER_S)

    def find_owner(self, name: str) -> str:
        """Find the owner of a quota, for the log.

        :param name: name of the organisation.
        :returns: name of the instance.
        """
        return self.ownership.find(name).name

    def _find_account(self, name: str) -> QuotaAccount:
        account = self.accounts.get(name)
        if account is None:
            account = QuotaAccount(name, self.rules)
            self.accounts[name] = account
        return account

    def _end_wait(self, name: str) -> None:
        """Note that a request no longer waits for a token."""
        self._waiting[name] -= 1
        if not self._waiting[name]:
            del self._waiting[name]

    def _count_token(self, token: QuotaToken) -> QuotaToken:
        source = "own" if token.owner == self.own_name else "granted"
        self.observer.count_quota(source)
        return token

    def _refuse(self, reason: str, retry_s: float) -> QuotaRefusal:
        self.observer.count_quota(reason)
        return QuotaRefusal(reason, retry_s)

    def _acquire_here(
        self, account: QuotaAccount, limit: QuotaLimit
    ) -> QuotaToken | QuotaRefusal:
        """Take a token from the bucket of this instance."""
        now_s = read_boot_clock()
        grant = self.owner.grant(account.organisation, limit, 1, 0, now_s)
        if not grant.tokens:
            return self._refuse("quota", max(grant.retry_s, grant.token_in_s))
        return self._count_token(
            QuotaToken(
                account.organisation,
                self.own_name,
                grant.number,
                now_s + self.rules.validity_s,
            )
        )

    async def _join_call(
        self, account: QuotaAccount, limit: QuotaLimit
    ) -> bool:
        """Wait for the call of an organisation, starting it if needed.

        :returns: whether an owner answered.
        """
        name = account.organisation
        task = self._calls.get(name)
        if task is None:
            task = await curio.spawn(self._ask, account, limit, daemon=True)
            self._calls[name] = task
        await task.wait()
        return task.exception is None and task.result

    async def _ask(self, account: QuotaAccount, limit: QuotaLimit) -> bool:
        """Ask the possible owners in order until one answers.

        :returns: whether one did.
        """
        name = account.organisation
        try:
            for owner in self._list_owners(name):
                sent_s = read_boot_clock()
                waiting = self._waiting.get(name, 0)
                expected = account.estimate_demand(sent_s)
                if owner == self.own_name:
                    grant = self.owner.grant(
                        name, limit, waiting, expected, sent_s
                    )
                else:
                    value = encode_fields(
                        CallKind.ASK.value,
                        waiting,
                        expected,
                        limit.rate,
                        limit.burst,
                    )
                    grant = await self._call_for_grant(
                        owner, value, name, CALL_TIMEOUT_S
                    )
                if grant is not None:
                    account.add(owner, grant, sent_s)
                    return True
            return False
        finally:
            del self._calls[name]

    def _list_owners(self, name: str) -> Iterator[str]:
        """List the reachable instances that may own a quota in order."""
        first = self.ownership.find(name).name
        if self._is_reachable(first):
            yield first
        order = self.ownership.list_order(name)
        others = [o for o in order if o != first and self._is_reachable(o)]
        yield from others[: MAX_OWNERS - 1]

    def _is_reachable(self, owner: str) -> bool:
        return read_boot_clock() >= self.backoff_until_s.get(owner, 0.0)

    async def _call_for_grant(
        self, owner: str, value: bytes, name: str, timeout_s: float
    ) -> Grant | None:
        """Ask one instance for tokens; None if it does not answer."""
        received = await self._call(owner, value, name.encode(), timeout_s)
        if received is None:
            return None
        try:
            return decode_grant(received)
        except ValueError as error:
            log_event(
                "quota_response_invalid",
                "WARNING",
                owner=owner,
                cause=repr(error),
            )
            return None

    async def _call(
        self, owner: str, value: bytes, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Send one call.

        :returns: the header of the response; None if there was none.
        """
        address = self.find_address(owner)
        if address is None:
            return None
        headers = [
            (b"host", str(address).encode()),
            (QUOTA_HEADER, value),
        ]
        call = OutgoingCall("POST", "/", headers, body)
        kind = value.decode().partition(SEPARATOR)[0]
        self.observer.count_quota_call(kind)
        sent_s = read_boot_clock()
        try:
            response = await self.pools.find(address).exchange(
                call, timeout_s, MAX_RESPONSE_BYTES
            )
        except (ConnectionBroken, curio.TaskTimeout) as error:
            own_delay = self.own_delay.was_behind(sent_s)
            if not own_delay:
                until_s = read_boot_clock() + UNREACHABLE_BACKOFF_S
                self.backoff_until_s[owner] = until_s
            self.observer.count_quota_call(f"{kind}_failed")
            log_event(
                "quota_call_failed",
                "WARNING",
                owner=owner,
                kind=kind,
                own_delay=own_delay,
                cause=repr(error),
            )
            return None
        if response.head.status != HTTP_OK:
            return None
        return find_header(response.head.headers, QUOTA_HEADER) or b""

    def put_back(self, token: QuotaToken) -> None:
        """Return the token of a request that reached no endpoint.

        :param token: the token.
        """
        now_s = read_boot_clock()
        name = token.organisation
        if self._find_account(name).put_back(token, now_s):
            self.observer.count_quota("returned")

    async def reconcile(self) -> None:
        """Follow the members: hand over quotas that others own now.

        Returned tokens that no request used go back to their owners.
        """
        now_s = read_boot_clock()
        self._follow_members(now_s)
        self.owner.advance(now_s)
        if not self.is_active:
            return
        for handover in self.owner.take_handovers(now_s):
            await curio.spawn(self._hand_over, handover, daemon=True)
        for account in list(self.accounts.values()):
            for token, number in account.take_returned(now_s).items():
                if token.owner == self.own_name:
                    name = token.organisation
                    self.owner.take_back(name, token.number, number, now_s)
                    continue
                await curio.spawn(self._send_back, token, number, daemon=True)

    def _follow_members(self, now_s: float) -> None:
        """Apply a changed list of serving instances."""
        serving = self.membership.list_serving()
        if serving is not self._serving:
            self._serving = serving
            names = [record.name for record in serving]
            find_weight = self.membership.weights.find
            self.owner.set_members(names, now_s, find_weight)

    async def _hand_over(self, handover: Handover) -> None:
        """Hand a bucket over to the next owner of its quota."""
        self._handovers += 1
        incarnation = self.membership.own_record.incarnation
        value = encode_fields(
            CallKind.ADOPT.value,
            f"{handover.level:.4f}",
            incarnation,
            self._handovers,
        )
        body = handover.organisation.encode()
        await self._call(handover.target, value, body, CALL_TIMEOUT_S)

    async def _send_back(self, token: QuotaToken, number: int) -> None:
        """Send the returned tokens of one grant back to their owner."""
        value = encode_fields(CallKind.RETURN.value, token.number, number)
        body = token.organisation.encode()
        await self._call(token.owner, value, body, CALL_TIMEOUT_S)

    async def handle(self, request: Request) -> Response:
        """Handle the call of another instance.

        :param request: the call.
        :returns: the response.
        """
        kind, *fields = request.find_text(QUOTA_HEADER).split(SEPARATOR)
        try:
            name = bytes(request.body).decode()
            handle = HANDLERS[CallKind(kind)]
            return await handle(self, name, fields)
        except ValueError as error:
            return Response(HTTP_BAD_REQUEST, body=str(error).encode())

    async def _handle_ask(self, name: str, fields: list[str]) -> Response:
        """Grant tokens, or ask the owner that this instance knows.

        A caller whose member list is older than this instance's, or that
        does not reach the owner, gets its tokens through this instance.
        """
        first = self.ownership.find(name).name
        if first != self.own_name and self._is_reachable(first):
            value = encode_fields(CallKind.FORWARDED.value, *fields)
            grant = await self._call_for_grant(
                first, value, name, FORWARD_TIMEOUT_S
            )
            if grant is not None:
                return encode_grant(grant)
        return await self._handle_forwarded(name, fields)

    async def _handle_forwarded(
        self, name: str, fields: list[str]
    ) -> Response:
        """Grant tokens from the bucket of this instance."""
        waiting, expected, rate, burst = fields
        limit = QuotaLimit(float(rate), float(burst))
        grant = self.owner.grant(
            name, limit, int(waiting), int(expected), read_boot_clock()
        )
        return encode_grant(grant)

    async def _handle_return(self, name: str, fields: list[str]) -> Response:
        """Take back unspent tokens."""
        number, tokens = map(int, fields)
        self.owner.take_back(name, number, tokens, read_boot_clock())
        return Response(HTTP_OK)

    async def _handle_adopt(self, name: str, fields: list[str]) -> Response:
        """Continue the bucket of the previous owner."""
        level, *number = fields
        accepted = self.owner.adopt(
            name, float(level), SEPARATOR.join(number), read_boot_clock()
        )
        kind = "adopted" if accepted else "not_adopted"
        self.observer.count_quota_call(kind)
        log_event("quota_adopted", organisation=name, accepted=accepted)
        return Response(HTTP_OK)


Handle = Callable[[QuotaCalls, str, list[str]], Awaitable[Response]]

HANDLERS: dict[CallKind, Handle] = {
    CallKind.ASK: QuotaCalls._handle_ask,
    CallKind.FORWARDED: QuotaCalls._handle_forwarded,
    CallKind.RETURN: QuotaCalls._handle_return,
    CallKind.ADOPT: QuotaCalls._handle_adopt,
}
