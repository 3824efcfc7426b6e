"""Hashes that all instances compute alike."""

import xxhash


def hash_text(text: str) -> int:
    """Hash a text to a whole number of 64 bits.

    :param text: the text.
    :returns: the hash.

    >>> hash_text("a") == hash_text("a")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())
