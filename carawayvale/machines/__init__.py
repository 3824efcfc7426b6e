"""Entry instances: request handling, queues, slots and tasks."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "responses": (
        "read_refusal_reason",
        "ResponseWriter",
        "send_refusal",
    ),
    "attempts": (
        "Attempt",
        "classify_response",
        "OutboundRequest",
        "send_attempt",
        "send_cancel",
    ),
    "caller_handler": (
        "CallerHandler",
        "LookupQuery",
    ),
    "dispatcher": (
        "Dispatcher",
        "Grant",
        "RankQueue",
        "ShardRequest",
    ),
    "entry": (
        "EntryInstance",
        "freeze_garbage_collector",
    ),
    "exchange": (
        "Exchange",
        "make_refusal_action",
    ),
    "hedging": ("Hedge",),
    "incarnation": ("make_incarnation",),
    "entry_node": ("EntryNode",),
    "operator_handler": (
        "apply_document",
        "begin_drain",
        "OperatorHandler",
        "register_operation",
        "show_health",
        "show_metrics",
        "show_ready",
        "show_state",
        "show_traces",
        "sign_document",
    ),
    "prober": ("Prober",),
    "request_state": ("RequestState",),
    "caller_request": (
        "CallerRequest",
        "copy_end_to_end_headers",
        "copy_response_headers",
        "echoes_request_id",
        "make_backend_headers",
        "make_cancel_target",
        "make_forward_headers",
        "make_framing_header",
        "make_request_id",
        "parse_cancel_target",
        "parse_number_header",
        "CallerRequestParser",
        "sign_hop",
    ),
    "shard_executor": (
        "find_failure_reason",
        "ShardExecutor",
    ),
    "shard_queue": ("ShardQueue",),
    "slots": ("EndpointSlots",),
    "forward_targets": (
        "list_forward_targets",
        "list_owners",
        "list_regions",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
