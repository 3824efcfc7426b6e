"""Calls about quotas between instances, as values of a header."""

from enum import Enum

from carawayvale.gateway.http_messages import Response
from carawayvale.gateway.owner_messages import QUOTA_HEADER
from carawayvale.steering.quota_buckets import Grant

HTTP_OK = 200

# Separates the fields of the header.
SEPARATOR = ";"


class CallKind(Enum):
    """Kind of a call about a quota.

    ASK requests tokens. FORWARDED is an ASK that another instance passes
    on, and is not passed on again. RETURN gives unspent tokens back. ADOPT
    hands a bucket over to its next owner.
    """

    ASK = "ask"
    FORWARDED = "forwarded"
    RETURN = "return"
    ADOPT = "adopt"


def encode_fields(*fields: object) -> bytes:
    """Encode the fields of a call.

    :param fields: the kind of the call, and its numbers.
    :returns: the value of the header.
    """
    return SEPARATOR.join(map(str, fields)).encode("ascii")


def encode_grant(grant: Grant) -> Response:
    """Encode the answer of an owner.

    :param grant: the tokens.
    :returns: the response.
    """
    value = encode_fields(
        grant.tokens, grant.number, f"{grant.retry_s:.4f}", grant.token_in_s
    )
    return Response(HTTP_OK, ((QUOTA_HEADER, value),))


def decode_grant(value: bytes) -> Grant:
    """Decode the answer of an owner.

    :param value: the value of the header.
    :returns: the tokens.
    :raises ValueError: if it is malformed.
    """
    fields = value.decode("ascii").split(SEPARATOR)
    if len(fields) != 4:
        raise ValueError(f"{QUOTA_HEADER.decode()} has {len(fields)} fields")
    return Grant(
        int(fields[0]), int(fields[1]), float(fields[2]), float(fields[3])
    )
