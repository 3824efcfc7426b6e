"""Entry instances: queues, slots, connections, exchanges and tasks."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "responses": (
        "ResponseWriter",
        "read_reason",
        "send_refusal",
    ),
    "attempts": (
        "Attempt",
        "judge_answer",
        "Outbound",
        "send_attempt",
        "send_cancel",
    ),
    "caller_handler": (
        "CallerHandler",
        "LookupQuestion",
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
        "refuse_claim",
    ),
    "hedging": ("Hedge",),
    "incarnation": ("make_incarnation",),
    "entry_node": ("EntryNode",),
    "operator_handler": (
        "begin_drain",
        "register_operation",
        "OperatorHandler",
        "show_health",
        "show_metrics",
        "show_ready",
        "show_state",
        "show_traces",
        "sign_document",
        "take_document",
    ),
    "prober": ("Prober",),
    "request_state": ("RequestState",),
    "caller_request": (
        "CallerRequest",
        "copy_answer_headers",
        "copy_end_to_end",
        "is_echo",
        "make_backend_headers",
        "make_cancel_target",
        "make_forward_headers",
        "make_framing",
        "make_request_id",
        "parse_cancel_target",
        "read_number",
        "RequestReader",
        "sign_hop",
    ),
    "shard_executor": (
        "find_failure_reason",
        "ShardExecutor",
    ),
    "shard_queue": ("ShardQueue",),
    "slots": ("EndpointSlots",),
    "forward_targets": (
        "list_owners",
        "list_regions",
        "list_forward_targets",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
