"""Store adapters, and updates and edits of the operators' document."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "document_updater": ("DocumentUpdater",),
    "editor": (
        "apply_edit",
        "change_body",
        "Edit",
        "Editor",
        "EditResult",
        "EditStatus",
        "find_owner",
        "PreparedEdit",
        "Snapshot",
    ),
    "envelope": (
        "decode_change",
        "decode_envelope",
        "EditRecord",
        "encode_change",
        "Envelope",
    ),
    "http_store": ("HttpStore",),
    "memory_store": ("MemoryStore",),
    "store": (
        "ListedInstance",
        "make_store",
        "register_store",
        "Store",
        "StoredValue",
        "StoreUnavailable",
        "WriteResult",
    ),
    "store_state": (
        "Lease",
        "StoreState",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
