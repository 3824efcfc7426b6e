"""Records of crashes at which a request was in progress."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointCrash:
    """The crash of one process of an endpoint.

    :param endpoint: name of the endpoint.
    :param started_ms: start of its process in Unix milliseconds.
    """

    endpoint: str
    started_ms: int


@dataclass(frozen=True)
class CrashRecord:
    """One request that was in progress at one crash.

    :param fingerprint: fingerprint of the request.
    :param crash: the crash.
    """

    fingerprint: bytes
    crash: EndpointCrash


@dataclass(frozen=True)
class StoredCrash:
    """A record of a crash as it is in the store.

    :param record: the record.
    :param writer: name of the instance that wrote it last.
    :param expires: whether the store removes it by itself after a while.
    """

    record: CrashRecord
    writer: str
    expires: bool
