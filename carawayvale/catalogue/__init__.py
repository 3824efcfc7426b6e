"""Catalogue: typed records of the routes, services and endpoints served."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "crashes": (
        "CrashRecord",
        "EndpointCrash",
        "StoredCrash",
    ),
    "header_names": ("HeaderNames",),
    "records": (
        "Catalogue",
        "Configuration",
        "EMPTY_CATALOGUE",
        "EndpointRecord",
        "EndpointState",
        "RequestLimits",
        "RouteRecord",
        "ServiceRecord",
        "WeightedService",
    ),
    "replica": (
        "StoredItem",
        "StoreReplica",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
