"""Keys and values of records of crashes in the platform's store."""

import json

from carawayvale.catalogue.crashes import CrashRecord
from carawayvale.catalogue.crashes import EndpointCrash
from carawayvale.catalogue.crashes import StoredCrash
from carawayvale.catalogue.replica import StoredItem
from carawayvale.contracts.hashing import hash_text
from carawayvale.platform.values import read_field

CRASHES_PREFIX = "carawayvale/crashes/"


def make_crash_key(record: CrashRecord) -> str:
    """Make the key of a record.

    :param record: the record.
    :returns: the key, which is equal for equal records.
    """
    crash = record.crash
    # The name of an endpoint may be almost as long as a key.
    number = hash_text(f"{crash.endpoint}|{crash.started_ms}")
    return f"{CRASHES_PREFIX}{record.fingerprint.hex()}/{number:016x}"


def encode_crash(stored: StoredCrash) -> bytes:
    """Encode a record.

    :param stored: the record.
    :returns: the value of its item.
    """
    record = stored.record
    return json.dumps(
        {
            "request": record.fingerprint.hex(),
            "endpoint": record.crash.endpoint,
            "started": record.crash.started_ms,
            "writer": stored.writer,
            "expires": stored.expires,
        }
    ).encode()


def decode_crash(item: StoredItem) -> StoredCrash:
    """Decode a record.

    :param item: its item, which is present.
    :returns: the record.
    :raises ValueError: if it cannot be decoded.
    """
    try:
        table = json.loads(item.value)
        record = CrashRecord(
            bytes.fromhex(read_field(table, "request", str)),
            EndpointCrash(
                read_field(table, "endpoint", str),
                read_field(table, "started", int),
            ),
        )
        writer = read_field(table, "writer", str)
        expires = read_field(table, "expires", bool)
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"cannot be decoded: {error!r}") from None
    return StoredCrash(record, writer, expires)
