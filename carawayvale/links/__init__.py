"""HTTP, peer links, membership and replication of the document."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "age_messages": ("AgeReport",),
    "connections": (
        "ConnectionPool",
        "ConnectionPools",
        "IdleConnection",
        "OutgoingCall",
        "ReceivedResponse",
    ),
    "crash_messages": (
        "AnswerReport",
        "CrashReport",
    ),
    "document_handlers": (
        "handle_reports",
        "handle_revision",
        "handle_sections",
        "handle_sections_request",
        "log_findings",
        "request_sections",
    ),
    "document_messages": (
        "CreditGrant",
        "RegionReport",
        "Reports",
        "Sections",
        "SectionsRequest",
        "SectionText",
        "ServiceHeadroom",
    ),
    "document_replica": (
        "apply_change",
        "describe_change",
        "DocumentChange",
        "DocumentReplica",
        "find_changed_sections",
    ),
    "handlers": (
        "handle_heartbeat",
        "handle_members",
        "handle_members_request",
        "handle_probe_reply",
        "handle_probe_request",
        "log_state_change",
    ),
    "http": (
        "BadRequest",
        "connect",
        "ConnectFailed",
        "ConnectionBroken",
        "find_header",
        "RequestHead",
        "ResponseHead",
        "tune_socket",
    ),
    "http_client": ("HttpClient",),
    "http_server": ("HttpServer",),
    "json_calls": (
        "read_body",
        "read_json",
        "send_json",
        "serve_requests",
    ),
    "listener": (
        "Listener",
        "open_listener",
    ),
    "membership": ("Membership",),
    "link_sessions": (
        "ActiveLink",
        "serve_link",
    ),
    "messages": (
        "BadMessage",
        "Challenge",
        "decode_message",
        "encode_message",
        "Heartbeat",
        "Hello",
        "MemberRecord",
        "Members",
        "MembersRequest",
        "MemberState",
        "ProbeReply",
        "ProbeRequest",
        "register_message",
        "UnknownMessage",
        "Updates",
        "Welcome",
    ),
    "peer_link": (
        "accept_link",
        "LinkBroken",
        "LinkClosed",
        "LinkRefused",
        "open_link",
        "pack_message",
        "PeerLink",
        "sign_handshake",
        "unpack_message",
    ),
    "peer_traffic": ("Traffic",),
    "peers": (
        "PeerCallbacks",
        "PeerTable",
        "register_message_handler",
    ),
    "report_gossip": (
        "relay_reports",
        "send_reports",
    ),
    "tls": (
        "load_authority",
        "load_tls",
        "TlsContexts",
    ),
    "topology": (
        "choose_neighbours",
        "choose_redials",
        "elect",
        "find_ring_neighbours",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
