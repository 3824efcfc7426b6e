"""Handlers of the messages between peers about members."""

from typing import Any

from carawayvale.links.messages import Heartbeat
from carawayvale.links.messages import Members
from carawayvale.links.messages import MembersRequest
from carawayvale.links.messages import ProbeReply
from carawayvale.links.messages import ProbeRequest
from carawayvale.links.messages import Updates
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.telemetry.logs import log_event

VIEW_MISMATCH_S = 2.0


@register_message_handler(Heartbeat)
async def handle_heartbeat(
    table: PeerTable, link: PeerLink, message: Heartbeat
) -> None:
    """Record a heartbeat, and request the member list if it differs.

    It is requested only after the view hashes have differed for
    VIEW_MISMATCH_S.
    """
    now_s = table.clock.read()
    name = link.peer.name
    table.membership.record_direct_heartbeat(name, message.incarnation, now_s)
    active = table.links.get(name)
    if active is None:
        return
    if message.view_hash == table.membership.view_hash:
        active.mismatch_since_s = 0.0
    elif not active.mismatch_since_s:
        active.mismatch_since_s = now_s
    elif now_s - active.mismatch_since_s >= VIEW_MISMATCH_S:
        active.mismatch_since_s = now_s
        await link.post(MembersRequest())


@register_message_handler(MembersRequest)
async def handle_members_request(
    table: PeerTable, link: PeerLink, message: MembersRequest
) -> None:
    """Send the whole member list."""
    await link.post(Members(tuple(table.membership.records.values())))


@register_message_handler(Members)
@register_message_handler(Updates)
async def handle_members(
    table: PeerTable, link: PeerLink, message: Members | Updates
) -> None:
    """Merge received member records, and gossip those that changed."""
    now_s = table.clock.read()
    for record in message.records:
        known = table.membership.records.get(record.name)
        if table.membership.receive(record, now_s):
            log_state_change(known, record, link.peer.name)
    await table.update_neighbours()
    await table.send_updates(link.peer.name, message.records)


def log_state_change(known: Any, record: Any, source: str) -> None:
    """Log a change in the state of a member.

    :param known: the previous record, or None.
    :param record: the new record.
    :param source: name of the peer that sent the record.
    """
    if known is None or known.state is not record.state:
        log_event(
            "member_changed",
            name=record.name,
            state=record.state.name.lower(),
            incarnation=record.incarnation,
            version=record.version,
            source=source,
        )


@register_message_handler(ProbeRequest)
async def handle_probe_request(
    table: PeerTable, link: PeerLink, message: ProbeRequest
) -> None:
    """Confirm the target to a peer if this instance hears it directly."""
    record = table.membership.records.get(message.target)
    is_heard = table.membership.is_heard_directly(
        message.target, table.clock.read()
    )
    if record is not None and is_heard:
        await link.post(
            ProbeReply(record.name, record.incarnation, record.version)
        )


@register_message_handler(ProbeReply)
async def handle_probe_reply(
    table: PeerTable, link: PeerLink, message: ProbeReply
) -> None:
    """Record the confirmation of a peer that it hears the target."""
    now_s = table.clock.read()
    table.membership.record_heartbeat(
        message.target, message.incarnation, now_s
    )
