"""Decisions on requests: routing, placement, admission, rates, health."""

from carawayvale.steering.admission import EndpointQueue
from carawayvale.steering.admission import QueuedRequest
from carawayvale.steering.admission import Rejection
from carawayvale.steering.health import EndpointHealth
from carawayvale.steering.health import HealthSignal
from carawayvale.steering.placement import list_first_choices
from carawayvale.steering.placement import order_endpoints
from carawayvale.steering.placement import score_endpoint
from carawayvale.steering.rates import ColdRateLimit
from carawayvale.steering.rates import FleetRetryBudget
from carawayvale.steering.rates import ShiftLimit
from carawayvale.steering.rates import WindowCounter
from carawayvale.steering.routing import choose_weighted_service
from carawayvale.steering.routing import RouteTable
from carawayvale.steering.service_times import ServiceTimes

__all__ = (
    "choose_weighted_service",
    "ColdRateLimit",
    "EndpointHealth",
    "EndpointQueue",
    "FleetRetryBudget",
    "HealthSignal",
    "list_first_choices",
    "order_endpoints",
    "QueuedRequest",
    "Rejection",
    "RouteTable",
    "score_endpoint",
    "ServiceTimes",
    "ShiftLimit",
    "WindowCounter",
)
