"""Stand-in for a caller that follows the contract for callers."""

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
from carawayvale.contracts.address import parse_address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.contracts import headers as names
from carawayvale.contracts.retries import IDEMPOTENT_METHODS
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.connections import ReceivedResponse
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import Headers
from carawayvale.standins.backend import EchoedRequest

LOOKUP_TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 64_000_000
MAX_ATTEMPTS = 4
MS_PER_S = 1000
RETRY_PAUSE_S = 0.2
HTTP_OK = 200


class CallOutcome(Enum):
    """Outcome of a call for the caller.

    ANSWERED: the expected response arrived. NOT_RUN: no backend server
    ran the request. UNKNOWN: a backend server may have run a request
    that is not idempotent. FAILED: an idempotent request failed. WRONG:
    the response does not belong to the request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    WRONG = "wrong"


@dataclass(frozen=True)
class ServiceCall:
    """A request to a service.

    :param service: name of the service.
    :param method: HTTP method.
    :param path: path without a query.
    :param size: requested length of the response body in bytes; 0 for
        one line.
    :param body: body of the request.
    :param timeout_s: seconds from the start of the call to its deadline.
    """

    service: str
    method: str = "GET"
    path: str = "/"
    size: int = 0
    body: bytes = b""
    timeout_s: float = 5.0

    @property
    def target(self) -> str:
        """Path with the query of the requested size."""
        return f"{self.path}?size={self.size}" if self.size else self.path


@dataclass
class CallResult:
    """Result of a call.

    :param outcome: how the call ended.
    :param request_id: id of the request.
    :param attempts: number of attempts.
    :param took_s: duration of the call in seconds.
    :param reason: reason of the last failed attempt.
    :param served_by: value of the header ``carawayvale-served-by`` of
        the last response.
    """

    outcome: CallOutcome
    request_id: str
    attempts: int = 0
    took_s: float = 0.0
    reason: str = ""
    served_by: str = ""


@dataclass(frozen=True)
class Lookup:
    """Result of a look-up.

    :param addresses: addresses of entry instances, best first.
    :param ticket: submission ticket, or empty.
    :param expiry_s: time at which the result expires.
    """

    addresses: tuple[Address, ...]
    ticket: str
    expiry_s: float


@dataclass
class Caller:
    """Caller that looks up entry instances and retries only if it is safe.

    :param seeds: addresses at which some entry instances accept callers.
    :param region: region of the caller.
    :param seed: seed of random choices.
    :param max_attempts: largest number of attempts of one call.
    :param ssl: context for TLS, or None.
    :param source: IP address to connect from; empty for any.
    :param lookups: cached look-ups without a ticket, by service and method.
    :param counts: number of calls by outcome.
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

    async def call(self, call: ServiceCall) -> CallResult:
        """Make a call, with the retries that the contract allows.

        :param call: the call.
        :returns: the result of the call.
        """
        request_id = secrets.token_hex(8)
        result = CallResult(CallOutcome.NOT_RUN, request_id)
        start_s = read_boot_clock()
        deadline_s = start_s + call.timeout_s
        lookup = await self._look_up(call, deadline_s)
        position = 0
        while lookup is not None and result.attempts < self.max_attempts:
            address = lookup.addresses[position % len(lookup.addresses)]
            position += 1
            result.attempts += 1
            may_retry = await self._attempt(
                call, address, lookup, result, deadline_s
            )
            if not may_retry or read_boot_clock() >= deadline_s:
                break
            if result.outcome is CallOutcome.NOT_RUN:
                self.lookups.pop((call.service, call.method), None)
                lookup = await self._look_up(call, deadline_s) or lookup
                # A ticket names the instance at the first address.
                position = 0 if lookup.ticket else position
        result.took_s = read_boot_clock() - start_s
        self.counts[result.outcome] += 1
        return result

    async def _attempt(
        self,
        call: ServiceCall,
        address: Address,
        lookup: Lookup,
        result: CallResult,
        deadline_s: float,
    ) -> bool:
        """Send the request once and return whether it may be retried."""
        remaining_s = deadline_s - read_boot_clock()
        if remaining_s <= 0:
            return False
        is_idempotent = call.method in IDEMPOTENT_METHODS
        headers = self._make_headers(call, lookup, result, remaining_s)
        try:
            response = await self.send(
                address,
                call.method,
                call.target,
                headers,
                call.body,
                remaining_s,
            )
        except ConnectFailed as error:
            result.reason = str(error)
            return True
        except (ConnectionBroken, curio.TaskTimeout) as error:
            result.reason = f"broken: {error}"
            result.outcome = (
                CallOutcome.FAILED if is_idempotent else CallOutcome.UNKNOWN
            )
            return is_idempotent or bool(lookup.ticket)
        return await self._classify_response(
            call, response, result, is_idempotent
        )

    async def _classify_response(
        self,
        call: ServiceCall,
        response: ReceivedResponse,
        result: CallResult,
        is_idempotent: bool,
    ) -> bool:
        """Record the outcome and return whether to retry the request."""
        head = response.head
        reason = head.find(names.REASON)
        result.served_by = (head.find(names.SERVED_BY) or b"").decode()
        if head.status == HTTP_OK and reason is None:
            is_expected = self._is_expected_response(
                call, response, result.request_id
            )
            result.outcome = (
                CallOutcome.ANSWERED if is_expected else CallOutcome.WRONG
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
        result.outcome = (
            CallOutcome.FAILED if is_idempotent else CallOutcome.UNKNOWN
        )
        return is_idempotent

    def _is_expected_response(
        self, call: ServiceCall, response: ReceivedResponse, request_id: str
    ) -> bool:
        body_hash = xxhash.xxh3_64_hexdigest(call.body)
        expected = EchoedRequest(
            request_id.encode(), call.method, call.path, call.size, body_hash
        )
        id_matches = (
            response.head.find(names.REQUEST_ID) == request_id.encode()
        )
        return id_matches and response.body == expected.make_response_body()

    def _make_headers(
        self,
        call: ServiceCall,
        lookup: Lookup,
        result: CallResult,
        remaining_s: float,
    ) -> Headers:
        headers = [
            (names.HOST, call.service.encode()),
            (names.REQUEST_ID, result.request_id.encode()),
            (names.DEADLINE_MS, b"%d" % max(1, int(remaining_s * MS_PER_S))),
            (names.ATTEMPT, b"%d" % result.attempts),
        ]
        if lookup.ticket:
            headers.append((names.TICKET, lookup.ticket.encode()))
        return headers

    async def _look_up(
        self, call: ServiceCall, deadline_s: float
    ) -> Lookup | None:
        """Return a cached or new look-up; None if no instance responds."""
        key = (call.service, call.method)
        cached = self.lookups.get(key)
        if cached is not None and read_boot_clock() < cached.expiry_s:
            return cached
        addresses = list(self.seeds)
        self.random.shuffle(addresses)
        if cached is not None:
            addresses = [*cached.addresses, *addresses]
        for address in addresses:
            remaining_s = deadline_s - read_boot_clock()
            if remaining_s <= 0:
                return None
            lookup = await self._request_lookup(address, call, remaining_s)
            if lookup is not None:
                if not lookup.ticket:
                    self.lookups[key] = lookup
                return lookup
        return None

    async def _request_lookup(
        self, address: Address, call: ServiceCall, remaining_s: float
    ) -> Lookup | None:
        query = {
            "service": call.service,
            "region": self.region,
            "method": call.method,
            "path": call.path,
        }
        target = f"{names.LOOKUP_PATH}?{urlencode(query)}"
        headers = [(names.HOST, b"lookup")]
        timeout_s = min(remaining_s, LOOKUP_TIMEOUT_S)
        try:
            response = await self.send(
                address, "GET", target, headers, b"", timeout_s
            )
        except (ConnectionBroken, curio.TaskTimeout):
            return None
        if response.head.status != HTTP_OK:
            return None
        content = json.loads(response.body)
        addresses = [
            parse_address(entry["address"]) for entry in content["entries"]
        ]
        if not addresses:
            return None
        expiry_s = read_boot_clock() + content["ttl_s"]
        return Lookup(tuple(addresses), content.get("ticket", ""), expiry_s)

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        remaining_s: float,
    ) -> ReceivedResponse:
        """Send one request and read the whole response.

        :param address: address to send the request to.
        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers of the request.
        :param body: body of the request.
        :param remaining_s: timeout of the exchange in seconds.
        :returns: the response.
        :raises ConnectionBroken: if the connection ends before the
            response is complete.
        :raises curio.TaskTimeout: if the timeout expires first.
        """
        call = OutgoingCall(method, target, headers, body)
        recently_used_only = method not in IDEMPOTENT_METHODS
        pool = self.pools.find(address)
        return await pool.exchange(
            call, remaining_s, MAX_RESPONSE_BYTES, recently_used_only
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pools.keep_only(set())
