"""Store adapters, and updates and edits of the operators' document."""

from carawayvale.documents.document_updater import DocumentUpdater
from carawayvale.documents.editor import apply_edit
from carawayvale.documents.editor import change_body
from carawayvale.documents.editor import Edit
from carawayvale.documents.editor import Editor
from carawayvale.documents.editor import EditResult
from carawayvale.documents.editor import EditStatus
from carawayvale.documents.editor import find_owner
from carawayvale.documents.editor import PreparedEdit
from carawayvale.documents.editor import Snapshot
from carawayvale.documents.envelope import decode_change
from carawayvale.documents.envelope import decode_envelope
from carawayvale.documents.envelope import EditRecord
from carawayvale.documents.envelope import encode_change
from carawayvale.documents.envelope import Envelope
from carawayvale.documents.http_store import HttpStore
from carawayvale.documents.memory_store import MemoryStore
from carawayvale.documents.store import ListedInstance
from carawayvale.documents.store import make_store
from carawayvale.documents.store import register_store
from carawayvale.documents.store import Store
from carawayvale.documents.store import StoredValue
from carawayvale.documents.store import StoreUnavailable
from carawayvale.documents.store import WriteResult
from carawayvale.documents.store_state import Lease
from carawayvale.documents.store_state import StoreState

__all__ = (
    "apply_edit",
    "change_body",
    "decode_change",
    "decode_envelope",
    "DocumentUpdater",
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
    "StoreState",
    "StoreUnavailable",
    "WriteResult",
)
