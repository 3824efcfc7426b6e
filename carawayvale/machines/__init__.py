"""Entry instances: queues, slots, connections, exchanges and tasks."""

from carawayvale.machines.answers import AnswerWriter
from carawayvale.machines.answers import read_reason
from carawayvale.machines.answers import send_refusal
from carawayvale.machines.attempts import Attempt
from carawayvale.machines.attempts import judge_answer
from carawayvale.machines.attempts import Outbound
from carawayvale.machines.attempts import send_attempt
from carawayvale.machines.attempts import send_cancel
from carawayvale.machines.caller_port import CallerPort
from carawayvale.machines.caller_port import LookupQuestion
from carawayvale.machines.dispatcher import Dispatcher
from carawayvale.machines.dispatcher import Grant
from carawayvale.machines.dispatcher import Job
from carawayvale.machines.dispatcher import RankQueue
from carawayvale.machines.entry import EntryInstance
from carawayvale.machines.entry import settle_memory
from carawayvale.machines.exchange import Exchange
from carawayvale.machines.exchange import refuse_claim
from carawayvale.machines.hedging import Hedge
from carawayvale.machines.incarnation import make_incarnation
from carawayvale.machines.node import Node
from carawayvale.machines.operator_port import begin_drain
from carawayvale.machines.operator_port import handle_call
from carawayvale.machines.operator_port import OperatorPort
from carawayvale.machines.operator_port import show_health
from carawayvale.machines.operator_port import show_metrics
from carawayvale.machines.operator_port import show_ready
from carawayvale.machines.operator_port import show_state
from carawayvale.machines.operator_port import show_traces
from carawayvale.machines.operator_port import sign_document
from carawayvale.machines.operator_port import take_document
from carawayvale.machines.prober import Prober
from carawayvale.machines.progress import Progress
from carawayvale.machines.requests import CallerRequest
from carawayvale.machines.requests import copy_answer_headers
from carawayvale.machines.requests import copy_end_to_end
from carawayvale.machines.requests import is_echo
from carawayvale.machines.requests import make_backend_headers
from carawayvale.machines.requests import make_cancel_target
from carawayvale.machines.requests import make_forward_headers
from carawayvale.machines.requests import make_framing
from carawayvale.machines.requests import make_request_id
from carawayvale.machines.requests import read_cancel_target
from carawayvale.machines.requests import read_number
from carawayvale.machines.requests import RequestReader
from carawayvale.machines.requests import sign_hop
from carawayvale.machines.serving import find_failure
from carawayvale.machines.serving import OwnerRun
from carawayvale.machines.shard_queue import ShardQueue
from carawayvale.machines.slots import EndpointSlots
from carawayvale.machines.steering import list_owners
from carawayvale.machines.steering import list_regions
from carawayvale.machines.steering import list_remotes

__all__ = (
    "AnswerWriter",
    "Attempt",
    "begin_drain",
    "CallerPort",
    "CallerRequest",
    "copy_answer_headers",
    "copy_end_to_end",
    "Dispatcher",
    "EndpointSlots",
    "EntryInstance",
    "Exchange",
    "find_failure",
    "Grant",
    "handle_call",
    "Hedge",
    "is_echo",
    "Job",
    "judge_answer",
    "list_owners",
    "list_regions",
    "list_remotes",
    "LookupQuestion",
    "make_backend_headers",
    "make_cancel_target",
    "make_forward_headers",
    "make_framing",
    "make_incarnation",
    "make_request_id",
    "Node",
    "OperatorPort",
    "Outbound",
    "OwnerRun",
    "Prober",
    "Progress",
    "RankQueue",
    "read_cancel_target",
    "read_number",
    "read_reason",
    "refuse_claim",
    "RequestReader",
    "send_attempt",
    "send_cancel",
    "send_refusal",
    "settle_memory",
    "ShardQueue",
    "show_health",
    "show_metrics",
    "show_ready",
    "show_state",
    "show_traces",
    "sign_document",
    "sign_hop",
    "take_document",
)
