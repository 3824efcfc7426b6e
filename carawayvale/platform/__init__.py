"""The platform's store: adapters, the document in it, watching, editing."""

from carawayvale.platform.cells import Cells
from carawayvale.platform.cells import Lease
from carawayvale.platform.editor import apply_edit
from carawayvale.platform.editor import change_body
from carawayvale.platform.editor import Edit
from carawayvale.platform.editor import Editor
from carawayvale.platform.editor import EditResult
from carawayvale.platform.editor import EditStatus
from carawayvale.platform.editor import find_owner
from carawayvale.platform.editor import PreparedEdit
from carawayvale.platform.editor import Snapshot
from carawayvale.platform.envelope import decode_change
from carawayvale.platform.envelope import decode_envelope
from carawayvale.platform.envelope import EditRecord
from carawayvale.platform.envelope import encode_change
from carawayvale.platform.envelope import Envelope
from carawayvale.platform.http_store import HttpStore
from carawayvale.platform.memory import MemoryStore
from carawayvale.platform.store import ListedInstance
from carawayvale.platform.store import make_store
from carawayvale.platform.store import register_store
from carawayvale.platform.store import Store
from carawayvale.platform.store import StoredValue
from carawayvale.platform.store import StoreUnavailable
from carawayvale.platform.store import WriteResult
from carawayvale.platform.watcher import Watcher

__all__ = (
    "apply_edit",
    "Cells",
    "change_body",
    "decode_change",
    "decode_envelope",
    "Edit",
    "Editor",
    "EditRecord",
    "EditResult",
    "EditStatus",
    "encode_change",
    "Envelope",
    "find_owner",
    "HttpStore",
    "Lease",
    "ListedInstance",
    "make_store",
    "MemoryStore",
    "PreparedEdit",
    "register_store",
    "Snapshot",
    "Store",
    "StoredValue",
    "StoreUnavailable",
    "Watcher",
    "WriteResult",
)
