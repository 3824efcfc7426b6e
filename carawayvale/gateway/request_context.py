"""One request of a caller on its way through the attempts."""

from dataclasses import dataclass
from dataclasses import field

from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import RouteRecord
from carawayvale.gateway.observer import format_ms
from carawayvale.gateway.owned_endpoint import OwnerRequest
from carawayvale.gateway.server import Request
from carawayvale.gateway.upstream import UpstreamResult


@dataclass(eq=False)
class RequestContext:
    """One request on its way through the attempts.

    :param request: the request.
    :param request_id: its id.
    :param route: its route.
    :param service: the service that was chosen for it.
    :param order: the request and its times.
    :param may_have_run: whether an endpoint may have run it.
    :param over: whether no further attempt is allowed.
    :param tried: endpoints that it was sent to.
    :param full: endpoints without room, with the time until an answer.
    :param keepers: by region, the endpoint that keeps the object: the
        first that is usable.
    :param spared: endpoints that fail many, kept for later.
    :param asked: owners' answers, for the log.
    :param asking: the endpoint whose owner has it now.
    :param spare: an error answer, kept in case nothing better comes.
    """

    request: Request
    request_id: str
    route: RouteRecord
    service: str
    order: OwnerRequest
    may_have_run: bool = False
    over: bool = False
    tried: list[str] = field(default_factory=list)
    full: dict[str, float] = field(default_factory=dict)
    keepers: dict[str, str] = field(default_factory=dict)
    spared: list[EndpointRecord] = field(default_factory=list)
    asked: list[tuple[str, str]] = field(default_factory=list)
    asking: str = ""
    spare: UpstreamResult | None = None

    def describe_asked(self) -> str:
        """Write which endpoints were asked and what came of it.

        :returns: ``endpoint:outcome`` pairs; a dash if none was asked.
        """
        pairs = [f"{name}:{outcome}" for name, outcome in self.asked]
        if self.asking:
            pairs.append(f"{self.asking}:waits")
        return ",".join(pairs) or "-"

    def describe_answer(
        self, result: UpstreamResult, took_s: float
    ) -> dict[str, object]:
        """Describe how it was answered, for the log.

        :param result: the answer.
        :param took_s: seconds since its head arrived.
        :returns: fields.
        """
        return {
            "took_ms": format_ms(took_s),
            "route": self.route.name,
            "status": result.status,
            "asked": self.describe_asked(),
        }

    def describe_abandoned(self, now_s: float) -> dict[str, object]:
        """Describe how far it was when its caller left, for the log.

        :param now_s: the time.
        :returns: fields.
        """
        return {
            "took_ms": format_ms(now_s - self.request.arrived_s),
            "route": self.route.name,
            "asked": self.describe_asked(),
            "left_ms": format_ms(self.order.limit_s - now_s),
        }

    def describe_loss(self, now_s: float, revision: int) -> dict[str, object]:
        """Describe what was tried before it was given up, for the log.

        :param now_s: the time.
        :param revision: revision of the catalogue that decided.
        :returns: fields.
        """
        return {
            "route": self.route.name,
            "asked": self.describe_asked(),
            "left_ms": format_ms(self.order.limit_s - now_s),
            "revision": revision,
        }
