"""Hashes that are the same in every process and on every instance."""

import math

import xxhash

# Number of values of the 64-bit hash.
HASH_RANGE = float(1 << 64)


def hash_text(text: str) -> int:
    """Hash a text to an unsigned 64-bit integer.

    :param text: the text.
    :returns: the hash.

    >>> hash_text("a") == hash_text("a")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def score_text(text: str, weight: float = 1.0) -> float:
    """Score a text by weighted rendezvous hashing.

    Of several texts, each has the highest score with a probability in
    proportion to its weight.

    :param text: the text.
    :param weight: its weight, above 0.
    :returns: the score, above 0.

    >>> score_text("a", 2.0) == 2.0 * score_text("a")
    True
    """
    point = (hash_text(text) + 1) / (HASH_RANGE + 2)
    return weight / -math.log(point)
