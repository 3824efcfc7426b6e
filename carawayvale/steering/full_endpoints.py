"""Remember which endpoints had no room a short time ago.

An endpoint whose owner has just rejected a request is not asked again at
once by the same instance, which spares both of them futile tries in an
overload.
"""

from dataclasses import dataclass

# An endpoint without room for a request within its objective gets no
# further requests for this long, in the own region and in another one.
FULL_BACKOFF_S = 0.05
REMOTE_FULL_BACKOFF_S = 0.15


@dataclass(frozen=True)
class FullEndpoint:
    """Report of an owner that its endpoint is full.

    :param until_s: time until which the endpoint gets no requests.
    :param finish_s: seconds until the request would have been complete.
    """

    until_s: float
    finish_s: float


class FullEndpoints:
    """The endpoints that were full, as one instance knows them."""

    def __init__(self):
        self._endpoints: dict[str, FullEndpoint] = {}

    def record(
        self, name: str, is_near: bool, finish_s: float, now_s: float
    ) -> None:
        """Record that an endpoint had no room within the objective.

        :param name: name of the endpoint.
        :param is_near: whether it is in the region of this instance.
        :param finish_s: seconds until the request would have been
            complete.
        :param now_s: the time.
        """
        wait_s = FULL_BACKOFF_S if is_near else REMOTE_FULL_BACKOFF_S
        self._endpoints[name] = FullEndpoint(now_s + wait_s, finish_s)

    def find(self, name: str, now_s: float) -> float | None:
        """Look up whether an endpoint was full a short time ago.

        :param name: name of the endpoint.
        :param now_s: the time.
        :returns: seconds until the request would have been complete;
            None if the endpoint may get a request.
        """
        known = self._endpoints.get(name)
        if known is None:
            return None
        if now_s >= known.until_s:
            del self._endpoints[name]
            return None
        return known.finish_s
