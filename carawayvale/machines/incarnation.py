"""Numbers that tell the processes of one instance apart."""

import secrets
import time

INCARNATION_BITS = 16
MS_PER_S = 1000


def make_incarnation() -> int:
    """Make the number that tells this process from earlier ones.

    :returns: a number that grows with the wall clock.
    """
    now_ms = int(time.time() * MS_PER_S)
    return (now_ms << INCARNATION_BITS) | secrets.randbits(INCARNATION_BITS)
