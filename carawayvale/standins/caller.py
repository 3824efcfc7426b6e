"""Stand-in for a caller that follows the callers' contract."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import json
import random
import secrets
from ssl import SSLContext
from urllib.parse import urlencode

import curio
import xxhash

from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.contracts.fields import parse_address
from carawayvale.contracts import headers as names
from carawayvale.contracts.retries import IDEMPOTENT_METHODS
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.connections import Reply
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.standins.backend import Work

LOOKUP_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 64_000_000
MAX_ATTEMPTS = 4
MS_PER_S = 1000
RETRY_PAUSE_S = 0.2
HTTP_OK = 200


class CallOutcome(Enum):
    """How a call ended for the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    WRONG = "wrong"


@dataclass(frozen=True)
class BackendCall:
    """A request to make.

    :param service: the service.
    :param method: HTTP method.
    :param path: path without a query.
    :param size: wanted length of the answer; 0 for a short one.
    :param body: the request's body.
    :param timeout_s: time until the deadline.
    """

    service: str
    method: str = "GET"
    path: str = "/"
    size: int = 0
    body: bytes = b""
    timeout_s: float = 5.0

    @property
    def target(self) -> str:
        """Path with the query."""
        return f"{self.path}?size={self.size}" if self.size else self.path


@dataclass
class CallResult:
    """What became of a call.

    :param outcome: how it ended.
    :param request_id: its id.
    :param attempts: how often it was sent.
    :param took_s: seconds from the start to the end.
    :param reason: reason of the last refusal.
    """

    outcome: CallOutcome
    request_id: str
    attempts: int = 0
    took_s: float = 0.0
    reason: str = ""
    served_by: str = ""


@dataclass(frozen=True)
class Lookup:
    """A cached look-up.

    :param addresses: entry instances, best first.
    :param ticket: submission ticket, or empty.
    :param expiry_s: when the look-up must be made again.
    """

    addresses: tuple[Address, ...]
    ticket: str
    expiry_s: float


@dataclass
class Caller:
    """Looks entry instances up, sends requests, repeats what is safe.

    :param seeds: callers' ports of some entry instances.
    :param region: the caller's region.
    :param seed: seed of random choices.
    :param max_attempts: how often one call is sent at most.
    :param ssl: context for TLS, or None.
    :param source: IP address to connect from; empty for any.
    """

    seeds: tuple[Address, ...]
    region: str
    seed: int = 0
    max_attempts: int = MAX_ATTEMPTS
    ssl: SSLContext | None = None
    source: str = ""
    lookups: dict[tuple[str, str], Lookup] = field(default_factory=dict)
    counts: Counter = field(default_factory=Counter)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.pools = ConnectionPools(self.ssl, self.source)

    async def call(self, call: BackendCall) -> CallResult:
        """Make a call and follow the contract until it ends.

        :param call: the call.
        :returns: what became of it.
        """
        request_id = secrets.token_hex(8)
        result = CallResult(CallOutcome.NOT_RUN, request_id)
        began_s = read_boot_clock()
        deadline_s = began_s + call.timeout_s
        lookup = await self._look_up(call, deadline_s)
        place = 0
        while lookup is not None and result.attempts < self.max_attempts:
            address = lookup.addresses[place % len(lookup.addresses)]
            place += 1
            result.attempts += 1
            again = await self._try_once(
                call, address, lookup, result, deadline_s
            )
            if not again or read_boot_clock() >= deadline_s:
                break
            if result.outcome is CallOutcome.NOT_RUN:
                self.lookups.pop((call.service, call.method), None)
                lookup = await self._look_up(call, deadline_s) or lookup
                place = 0 if lookup.ticket else place
        result.took_s = read_boot_clock() - began_s
        self.counts[result.outcome] += 1
        return result

    async def _try_once(
        self,
        call: BackendCall,
        address: Address,
        lookup: Lookup,
        result: CallResult,
        deadline_s: float,
    ) -> bool:
        """Send once; tell whether the contract allows a repeat."""
        left_s = deadline_s - read_boot_clock()
        if left_s <= 0:
            return False
        safe = call.method in IDEMPOTENT_METHODS
        headers = self._make_headers(call, lookup, result, left_s)
        try:
            reply = await self.send(
                address, call.method, call.target, headers, call.body, left_s
            )
        except ConnectFailed as error:
            result.reason = str(error)
            return True
        except (ConnectionBroken, curio.TaskTimeout) as error:
            result.reason = f"broken: {error}"
            result.outcome = (
                CallOutcome.FAILED if safe else CallOutcome.UNKNOWN
            )
            return safe or bool(lookup.ticket)
        return await self._judge(call, reply, result, safe)

    async def _judge(
        self, call: BackendCall, reply: Reply, result: CallResult, safe: bool
    ) -> bool:
        head = reply.head
        reason = head.find(names.REASON)
        result.served_by = (head.find(names.SERVED_BY) or b"").decode()
        if head.status == HTTP_OK and reason is None:
            good = self._is_mine(call, reply, result.request_id)
            result.outcome = (
                CallOutcome.ANSWERED if good else CallOutcome.WRONG
            )
            return False
        result.reason = (reason or b"status %d" % head.status).decode()
        if head.find(names.NOT_RUN) is not None:
            result.outcome = CallOutcome.NOT_RUN
            if head.find(names.RETRY_AFTER) is None:
                return False
            pause_s = RETRY_PAUSE_S * self.random.uniform(0.5, 1.5)
            await curio.sleep(pause_s)
            return True
        result.outcome = CallOutcome.FAILED if safe else CallOutcome.UNKNOWN
        return safe

    def _is_mine(
        self, call: BackendCall, reply: Reply, request_id: str
    ) -> bool:
        digest = xxhash.xxh3_64_hexdigest(call.body)
        work = Work(
            request_id.encode(), call.method, call.path, call.size, digest
        )
        echoed = reply.head.find(names.REQUEST_ID) == request_id.encode()
        return echoed and reply.body == work.make_body()

    def _make_headers(
        self,
        call: BackendCall,
        lookup: Lookup,
        result: CallResult,
        left_s: float,
    ) -> Headers:
        headers = [
            (names.HOST, call.service.encode()),
            (names.REQUEST_ID, result.request_id.encode()),
            (names.DEADLINE_MS, b"%d" % max(1, int(left_s * MS_PER_S))),
            (names.ATTEMPT, b"%d" % result.attempts),
        ]
        if lookup.ticket:
            headers.append((names.TICKET, lookup.ticket.encode()))
        return headers

    async def _look_up(
        self, call: BackendCall, deadline_s: float
    ) -> Lookup | None:
        key = (call.service, call.method)
        known = self.lookups.get(key)
        if known is not None and read_boot_clock() < known.expiry_s:
            return known
        addresses = list(self.seeds)
        self.random.shuffle(addresses)
        if known is not None:
            addresses = [*known.addresses, *addresses]
        for address in addresses:
            left_s = deadline_s - read_boot_clock()
            if left_s <= 0:
                return None
            found = await self._ask(address, call, left_s)
            if found is not None:
                if not found.ticket:
                    self.lookups[key] = found
                return found
        return None

    async def _ask(
        self, address: Address, call: BackendCall, left_s: float
    ) -> Lookup | None:
        query = {
            "service": call.service,
            "region": self.region,
            "method": call.method,
            "path": call.path,
        }
        target = f"{names.LOOKUP_PATH}?{urlencode(query)}"
        headers = [(names.HOST, b"lookup")]
        limit_s = min(left_s, LOOKUP_TIMEOUT_S)
        try:
            reply = await self.send(
                address, "GET", target, headers, b"", limit_s
            )
        except (ConnectionBroken, curio.TaskTimeout):
            return None
        if reply.head.status != HTTP_OK:
            return None
        answer = json.loads(reply.body)
        addresses = [parse_address(e["address"]) for e in answer["entries"]]
        if not addresses:
            return None
        expiry_s = read_boot_clock() + answer["ttl_s"]
        return Lookup(tuple(addresses), answer.get("ticket", ""), expiry_s)

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        left_s: float,
    ) -> Reply:
        """Send one request and read its whole answer.

        :param address: where to send it.
        :param method: HTTP method.
        :param target: path and query.
        :param headers: the headers.
        :param body: the body.
        :param left_s: longest time in seconds.
        :returns: the answer.
        :raises ConnectionBroken: if the connection ends first.
        :raises curio.TaskTimeout: if the time is over first.
        """
        call = OutgoingCall(method, target, headers, body)
        fresh = method not in IDEMPOTENT_METHODS
        pool = self.pools.find(address)
        return await pool.exchange(call, left_s, MAX_BODY_BYTES, fresh)

    async def close(self) -> None:
        """Close all connections."""
        await self.pools.keep_only(set())
