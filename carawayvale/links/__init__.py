"""HTTP, peer links, membership and replication of the document."""

from carawayvale.links.connections import ConnectionPool
from carawayvale.links.connections import ConnectionPools
from carawayvale.links.connections import IdleConnection
from carawayvale.links.connections import OutgoingCall
from carawayvale.links.connections import ReceivedResponse
from carawayvale.links.document_replica import apply_change
from carawayvale.links.document_replica import describe_change
from carawayvale.links.document_replica import DocumentChange
from carawayvale.links.document_replica import DocumentReplica
from carawayvale.links.document_replica import find_changed_sections
from carawayvale.links.handlers import handle_heartbeat
from carawayvale.links.handlers import handle_members
from carawayvale.links.handlers import handle_members_request
from carawayvale.links.handlers import handle_probe_reply
from carawayvale.links.handlers import handle_probe_request
from carawayvale.links.handlers import handle_reports
from carawayvale.links.handlers import handle_sections
from carawayvale.links.handlers import handle_sections_request
from carawayvale.links.handlers import log_findings
from carawayvale.links.handlers import log_state_change
from carawayvale.links.handlers import request_sections
from carawayvale.links.http import BadRequest
from carawayvale.links.http import connect
from carawayvale.links.http import ConnectFailed
from carawayvale.links.http import ConnectionBroken
from carawayvale.links.http import find_header
from carawayvale.links.http import RequestHead
from carawayvale.links.http import ResponseHead
from carawayvale.links.http import tune_socket
from carawayvale.links.http_client import HttpClient
from carawayvale.links.http_server import HttpServer
from carawayvale.links.json_calls import read_body
from carawayvale.links.json_calls import read_json
from carawayvale.links.json_calls import send_json
from carawayvale.links.json_calls import serve_requests
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.links.membership import choose_neighbours
from carawayvale.links.membership import elect
from carawayvale.links.membership import find_ring_neighbours
from carawayvale.links.membership import Membership
from carawayvale.links.messages import BadMessage
from carawayvale.links.messages import Challenge
from carawayvale.links.messages import CreditGrant
from carawayvale.links.messages import decode_message
from carawayvale.links.messages import encode_message
from carawayvale.links.messages import Heartbeat
from carawayvale.links.messages import Hello
from carawayvale.links.messages import MemberRecord
from carawayvale.links.messages import Members
from carawayvale.links.messages import MembersRequest
from carawayvale.links.messages import MemberState
from carawayvale.links.messages import ProbeReply
from carawayvale.links.messages import ProbeRequest
from carawayvale.links.messages import RegionReport
from carawayvale.links.messages import register_message
from carawayvale.links.messages import Reports
from carawayvale.links.messages import Sections
from carawayvale.links.messages import SectionsRequest
from carawayvale.links.messages import SectionText
from carawayvale.links.messages import ServiceHeadroom
from carawayvale.links.messages import Updates
from carawayvale.links.messages import Welcome
from carawayvale.links.peer_link import accept_link
from carawayvale.links.peer_link import LinkBroken
from carawayvale.links.peer_link import LinkClosed
from carawayvale.links.peer_link import LinkRefused
from carawayvale.links.peer_link import open_link
from carawayvale.links.peer_link import pack_message
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peer_link import sign_handshake
from carawayvale.links.peer_link import unpack_message
from carawayvale.links.peers import ActiveLink
from carawayvale.links.peers import PeerCallbacks
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.links.peers import Traffic
from carawayvale.links.tls import load_authority
from carawayvale.links.tls import load_tls
from carawayvale.links.tls import TlsContexts

__all__ = (
    "accept_link",
    "ActiveLink",
    "apply_change",
    "BadMessage",
    "BadRequest",
    "Challenge",
    "choose_neighbours",
    "connect",
    "ConnectFailed",
    "ConnectionBroken",
    "ConnectionPool",
    "ConnectionPools",
    "CreditGrant",
    "decode_message",
    "describe_change",
    "DocumentChange",
    "DocumentReplica",
    "elect",
    "encode_message",
    "find_changed_sections",
    "find_header",
    "find_ring_neighbours",
    "handle_heartbeat",
    "handle_members",
    "handle_members_request",
    "register_message_handler",
    "handle_probe_reply",
    "handle_probe_request",
    "handle_reports",
    "handle_sections",
    "handle_sections_request",
    "Heartbeat",
    "Hello",
    "HttpClient",
    "HttpServer",
    "IdleConnection",
    "LinkBroken",
    "LinkClosed",
    "LinkRefused",
    "Listener",
    "load_authority",
    "load_tls",
    "log_findings",
    "log_state_change",
    "MemberRecord",
    "Members",
    "Membership",
    "MembersRequest",
    "MemberState",
    "open_link",
    "open_listener",
    "OutgoingCall",
    "pack_message",
    "PeerCallbacks",
    "PeerLink",
    "PeerTable",
    "ProbeReply",
    "ProbeRequest",
    "read_body",
    "read_json",
    "RegionReport",
    "register_message",
    "Reports",
    "request_sections",
    "RequestHead",
    "ReceivedResponse",
    "ResponseHead",
    "Sections",
    "SectionsRequest",
    "SectionText",
    "send_json",
    "serve_requests",
    "ServiceHeadroom",
    "sign_handshake",
    "TlsContexts",
    "Traffic",
    "tune_socket",
    "unpack_message",
    "Updates",
    "Welcome",
)
