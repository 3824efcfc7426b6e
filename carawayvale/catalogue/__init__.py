"""Catalogue: typed records of the routes, services and endpoints served."""

from carawayvale.catalogue.header_names import HeaderNames
from carawayvale.catalogue.records import Catalogue
from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EMPTY_CATALOGUE
from carawayvale.catalogue.records import EndpointRecord
from carawayvale.catalogue.records import EndpointState
from carawayvale.catalogue.records import RequestLimits
from carawayvale.catalogue.records import RouteRecord
from carawayvale.catalogue.records import ServiceRecord
from carawayvale.catalogue.records import WeightedService
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica

__all__ = (
    "Catalogue",
    "Configuration",
    "EMPTY_CATALOGUE",
    "EndpointRecord",
    "EndpointState",
    "HeaderNames",
    "RequestLimits",
    "RouteRecord",
    "ServiceRecord",
    "StoredItem",
    "StoreReplica",
    "WeightedService",
)
