"""Hashes that are the same in every process and on every instance."""

import xxhash


def hash_text(text: str) -> int:
    """Hash a text to an unsigned 64-bit integer.

    :param text: the text.
    :returns: the hash.

    >>> hash_text("a") == hash_text("a")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())
