"""Refuse requests that crash the endpoints that run them.

All requests that an endpoint runs when it crashes are suspects. One that
was at several crashes in a row, and at none of them answered, is put in
quarantine: it is refused without being sent. A response to the same request
shows that it is harmless and clears it. So an innocent request that was
beside others at a crash is cleared when it succeeds elsewhere.

This answers the load of a caller that repeats such a request until it has
ended all endpoints of a service, and takes them from all other callers.
"""

from dataclasses import dataclass
from dataclasses import field

from carawayvale.catalogue.crashes import CrashRecord
from carawayvale.catalogue.crashes import EndpointCrash
from carawayvale.contracts.hashing import hash_text

# Crashes in a row, of different endpoints, that lead to quarantine.
MAX_CRASHES = 3

# A suspect is forgotten if nothing is heard of it for this long.
MEMORY_S = 120.0

# The quarantine doubles with each crash after it, from the first value up to
# the second.
INITIAL_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 7200.0

# Bound of the memory; the oldest suspects are forgotten first.
MAX_SUSPECTS = 4096


@dataclass
class SuspectRequest:
    """A request that was in progress at crashes.

    :param crashes: the crashes since it was last answered.
    :param cleared: the crashes before that. They are remembered, so that a
        late report of one is not taken for a new crash and sent on again.
    :param updated_s: time of the latest crash.
    :param until_s: end of its quarantine; 0 without one.
    :param quarantine_s: length of the next quarantine in seconds.
    """

    crashes: set[EndpointCrash] = field(default_factory=set)
    cleared: set[EndpointCrash] = field(default_factory=set)
    updated_s: float = 0.0
    until_s: float = 0.0
    quarantine_s: float = INITIAL_QUARANTINE_S

    @property
    def forget_s(self) -> float:
        """Time at which the suspect is forgotten."""
        return max(self.updated_s, self.until_s) + MEMORY_S


class Quarantine:
    """The suspects that one instance knows, by fingerprint.

    The instances end a quarantine at different times, so that a request
    that still crashes is tried by one of them and not by all.

    :param instance: name of the instance.
    """

    def __init__(self, instance: str):
        self.instance = instance
        self.suspects: dict[bytes, SuspectRequest] = {}

    def record_crash(
        self, fingerprint: bytes, crash: EndpointCrash, now_s: float
    ) -> bool:
        """Record a crash at which a request was in progress.

        :param fingerprint: fingerprint of the request.
        :param crash: the crash.
        :param now_s: the time.
        :returns: whether it is new.
        """
        suspect = self.suspects.pop(fingerprint, None) or SuspectRequest()
        self.suspects[fingerprint] = suspect
        if crash in suspect.crashes or crash in suspect.cleared:
            return False
        suspect.crashes.add(crash)
        suspect.updated_s = now_s
        if len(suspect.crashes) >= MAX_CRASHES and now_s >= suspect.until_s:
            self._extend(fingerprint, suspect, now_s)
        self._forget_old(now_s)
        return True

    def _extend(
        self, fingerprint: bytes, suspect: SuspectRequest, now_s: float
    ) -> None:
        """Begin the first or the next quarantine of a request."""
        delay = hash_text(f"{fingerprint.hex()}|{self.instance}") / (1 << 64)
        suspect.until_s = now_s + suspect.quarantine_s * (1.0 + delay)
        doubled_s = 2 * suspect.quarantine_s
        suspect.quarantine_s = min(MAX_QUARANTINE_S, doubled_s)

    def _forget_old(self, now_s: float) -> None:
        while self.suspects:
            fingerprint, suspect = next(iter(self.suspects.items()))
            is_full = len(self.suspects) > MAX_SUSPECTS
            if now_s < suspect.forget_s and not is_full:
                return
            del self.suspects[fingerprint]

    def record_answer(self, fingerprint: bytes) -> bool:
        """Clear a request that an endpoint answered.

        :param fingerprint: fingerprint of the request.
        :returns: whether it was a suspect.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        suspect.cleared |= suspect.crashes
        suspect.crashes.clear()
        suspect.until_s = 0.0
        suspect.quarantine_s = INITIAL_QUARANTINE_S
        return True

    def count_suspects(self) -> int:
        """Count the requests with a crash since their last answer.

        :returns: their number.
        """
        return sum(bool(s.crashes) for s in self.suspects.values())

    def list_crashes(self, fingerprint: bytes) -> list[EndpointCrash]:
        """List the crashes of a request since its last answer.

        :param fingerprint: fingerprint of the request.
        :returns: the crashes.
        """
        suspect = self.suspects.get(fingerprint)
        return list(suspect.crashes) if suspect else []

    def is_cleared(self, record: CrashRecord) -> bool:
        """Tell whether a request was answered since a crash.

        :param record: the request and the crash.
        :returns: whether the answer is known.
        """
        suspect = self.suspects.get(record.fingerprint)
        return suspect is not None and record.crash in suspect.cleared

    def list_quarantined(
        self, now_s: float
    ) -> list[tuple[bytes, EndpointCrash]]:
        """List the crashes of all requests in quarantine.

        :param now_s: the time.
        :returns: pairs of the fingerprint of a request and a crash.
        """
        return [
            (fingerprint, crash)
            for fingerprint, suspect in self.suspects.items()
            if suspect.until_s > now_s
            for crash in suspect.crashes
        ]

    def find_wait(self, fingerprint: bytes, now_s: float) -> float:
        """Find how much longer a request is in quarantine.

        :param fingerprint: fingerprint of the request.
        :param now_s: the time.
        :returns: seconds; 0 if the request may be sent.
        """
        self._forget_old(now_s)
        suspect = self.suspects.get(fingerprint)
        return max(0.0, suspect.until_s - now_s) if suspect else 0.0
