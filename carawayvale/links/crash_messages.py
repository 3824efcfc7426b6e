"""Messages between instances about requests that crash endpoints."""

from dataclasses import dataclass

from carawayvale.links.messages import register_message


@register_message(16)
@dataclass(frozen=True)
class CrashReport:
    """A request was in progress when an endpoint crashed.

    :param fingerprint: fingerprint of the request.
    :param endpoint: name of the endpoint.
    :param started_ms: start of its process in Unix milliseconds.
    """

    fingerprint: bytes
    endpoint: str
    started_ms: int


@register_message(17)
@dataclass(frozen=True)
class AnswerReport:
    """A request that was in progress at a crash was answered elsewhere.

    :param fingerprint: fingerprint of the request.
    """

    fingerprint: bytes
