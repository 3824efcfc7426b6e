"""Incarnation numbers, which order the processes of one instance."""

import secrets
import time

INCARNATION_BITS = 16
MS_PER_S = 1000


def make_incarnation() -> int:
    """Make the incarnation number of this process.

    :returns: a number that grows with the wall clock, with random low bits.
    """
    now_ms = int(time.time() * MS_PER_S)
    return (now_ms << INCARNATION_BITS) | secrets.randbits(INCARNATION_BITS)
