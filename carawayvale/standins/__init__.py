"""Stand-ins for the platform's store, backend servers and callers."""

from carawayvale.standins.backend import BackendFaults
from carawayvale.standins.backend import BackendServer
from carawayvale.standins.backend import break_connection
from carawayvale.standins.backend import EchoedRequest
from carawayvale.standins.backend import register_fault
from carawayvale.standins.backend import send_error
from carawayvale.standins.backend import send_nothing
from carawayvale.standins.backend import send_response
from carawayvale.standins.backend import send_truncated_response
from carawayvale.standins.backend import send_wrong_response
from carawayvale.standins.backend import set_faults
from carawayvale.standins.backend import show_health
from carawayvale.standins.backend import show_ledger
from carawayvale.standins.caller import Caller
from carawayvale.standins.caller import CallOutcome
from carawayvale.standins.caller import CallResult
from carawayvale.standins.caller import Lookup
from carawayvale.standins.caller import ServiceCall
from carawayvale.standins.store import claim_lease
from carawayvale.standins.store import list_instances
from carawayvale.standins.store import put_instance
from carawayvale.standins.store import read_key
from carawayvale.standins.store import register_handler
from carawayvale.standins.store import show_counts
from carawayvale.standins.store import StoreFaults
from carawayvale.standins.store import StoreServer
from carawayvale.standins.store import watch_key
from carawayvale.standins.store import write_key

__all__ = (
    "ServiceCall",
    "BackendFaults",
    "BackendServer",
    "break_connection",
    "Caller",
    "CallOutcome",
    "CallResult",
    "claim_lease",
    "EchoedRequest",
    "list_instances",
    "Lookup",
    "put_instance",
    "read_key",
    "register_fault",
    "register_handler",
    "send_error",
    "send_nothing",
    "send_response",
    "send_truncated_response",
    "send_wrong_response",
    "set_faults",
    "show_counts",
    "show_health",
    "show_ledger",
    "StoreFaults",
    "StoreServer",
    "watch_key",
    "write_key",
)
