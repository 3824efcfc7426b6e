"""Endpoints that said in a response that they are leaving.

An endpoint may say so before its entry in the store does, or when its
entry is gone already. It does not take it back; only a restart ends it.
"""

from carawayvale.catalogue.records import EndpointRecord

# Bound of the memory; the oldest departures are forgotten first.
MAX_DEPARTURES = 4096


class Departures:
    """The endpoints that are leaving, as one instance knows them.

    A departure is remembered after its entry is gone, since a store that
    was away may list the entry once more.
    """

    def __init__(self):
        self._started_ms: dict[str, int] = {}

    def record(self, endpoint: EndpointRecord) -> bool:
        """Record that an endpoint is leaving.

        :param endpoint: the endpoint.
        :returns: whether that is new.
        """
        known_ms = self._started_ms.get(endpoint.name)
        if known_ms is not None and known_ms >= endpoint.started_ms:
            return False
        self._started_ms.pop(endpoint.name, None)
        self._started_ms[endpoint.name] = endpoint.started_ms
        if len(self._started_ms) > MAX_DEPARTURES:
            del self._started_ms[next(iter(self._started_ms))]
        return True

    def includes(self, endpoint: EndpointRecord) -> bool:
        """Tell whether an endpoint is leaving.

        :param endpoint: the endpoint.
        :returns: whether this process of it said so.
        """
        return self._started_ms.get(endpoint.name) == endpoint.started_ms
