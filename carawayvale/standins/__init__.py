"""Stand-ins for the platform, for backend servers and for callers."""

from carawayvale.standins.backend import BackendFaults
from carawayvale.standins.backend import BackendServer
from carawayvale.standins.backend import break_connection
from carawayvale.standins.backend import register_fault
from carawayvale.standins.backend import send_error
from carawayvale.standins.backend import send_foreign
from carawayvale.standins.backend import send_part
from carawayvale.standins.backend import send_whole
from carawayvale.standins.backend import set_faults
from carawayvale.standins.backend import show_health
from carawayvale.standins.backend import show_ledger
from carawayvale.standins.backend import stay_silent
from carawayvale.standins.backend import Work
from carawayvale.standins.caller import BackendCall
from carawayvale.standins.caller import Caller
from carawayvale.standins.caller import CallOutcome
from carawayvale.standins.caller import CallResult
from carawayvale.standins.caller import Lookup
from carawayvale.standins.store import claim_lease
from carawayvale.standins.store import handle_call
from carawayvale.standins.store import list_instances
from carawayvale.standins.store import put_instance
from carawayvale.standins.store import read_key
from carawayvale.standins.store import show_counts
from carawayvale.standins.store import StoreFaults
from carawayvale.standins.store import StoreServer
from carawayvale.standins.store import watch_key
from carawayvale.standins.store import write_key

__all__ = (
    "BackendCall",
    "BackendFaults",
    "BackendServer",
    "break_connection",
    "Caller",
    "CallOutcome",
    "CallResult",
    "claim_lease",
    "handle_call",
    "list_instances",
    "Lookup",
    "put_instance",
    "read_key",
    "register_fault",
    "send_error",
    "send_foreign",
    "send_part",
    "send_whole",
    "set_faults",
    "show_counts",
    "show_health",
    "show_ledger",
    "stay_silent",
    "StoreFaults",
    "StoreServer",
    "watch_key",
    "Work",
    "write_key",
)
