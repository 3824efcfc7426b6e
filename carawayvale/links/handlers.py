"""Handlers of the messages that peers send."""

from typing import Any

import curio

from carawayvale.links.document_replica import apply_change
from carawayvale.links.messages import Heartbeat
from carawayvale.links.messages import Members
from carawayvale.links.messages import MembersRequest
from carawayvale.links.messages import ProbeReply
from carawayvale.links.messages import ProbeRequest
from carawayvale.links.messages import Reports
from carawayvale.links.messages import Sections
from carawayvale.links.messages import SectionsRequest
from carawayvale.links.messages import Updates
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.telemetry.logs import log_event

SECTIONS_TIMEOUT_S = 2.0
VIEW_MISMATCH_S = 2.0


@register_message_handler(Heartbeat)
async def handle_heartbeat(
    table: PeerTable, link: PeerLink, message: Heartbeat
) -> None:
    """Record a heartbeat, and request newer state from the peer.

    Changed sections are requested as soon as the peer has a higher revision
    of the document in force. The member list is requested only after the
    view hashes have differed for VIEW_MISMATCH_S.
    """
    now_s = table.clock.read()
    name = link.peer.name
    table.membership.record_direct_heartbeat(name, message.incarnation, now_s)
    if message.revision > table.document_replica.revision:
        await request_sections(table, link, now_s)
    elif message.revision < table.document_replica.revision:
        log_event(
            "older_revision_seen",
            "DEBUG",
            peer=name,
            revision=message.revision,
            in_force=table.document_replica.revision,
        )
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


async def request_sections(
    table: PeerTable, link: PeerLink, now_s: float
) -> None:
    """Request changed sections from a peer.

    Does nothing if an earlier request to any peer is still unanswered and
    less than SECTIONS_TIMEOUT_S old.

    :param table: links of this instance.
    :param link: link with the peer.
    :param now_s: current time in seconds.
    """
    if now_s - table.sections_requested_s < SECTIONS_TIMEOUT_S:
        return
    table.sections_requested_s = now_s
    document = table.document_replica.document
    await link.post(SectionsRequest(document.revision, document.digest))


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
            log_state_change(known, record)
    await table.update_neighbours()
    await table.send_updates()


def log_state_change(known: Any, record: Any) -> None:
    """Log a change in the state of a member.

    :param known: the previous record, or None.
    :param record: the new record.
    """
    if known is None or known.state is not record.state:
        log_event(
            "member_changed",
            name=record.name,
            state=record.state.name.lower(),
            incarnation=record.incarnation,
            version=record.version,
        )


@register_message_handler(Reports)
async def handle_reports(
    table: PeerTable, link: PeerLink, message: Reports
) -> None:
    """Merge the reports of a peer, and relay those that are new."""
    unseen = table.callbacks.merge_reports(link.peer, message)
    if unseen is not None:
        await table.relay_reports(unseen, link.peer.name)


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


@register_message_handler(SectionsRequest)
async def handle_sections_request(
    table: PeerTable, link: PeerLink, message: SectionsRequest
) -> None:
    """Send the sections that changed since the revision of the peer."""
    if table.document_replica.revision > message.revision:
        await link.post(
            table.document_replica.collect_since(
                message.revision, message.digest
            )
        )


@register_message_handler(Sections)
async def handle_sections(
    table: PeerTable, link: PeerLink, message: Sections
) -> None:
    """Validate changed sections and put the result in force."""
    table.sections_requested_s = 0.0
    if message.revision <= table.document_replica.revision:
        return
    source = f"peer {link.peer.name}"
    result = await curio.run_in_thread(
        apply_change, table.document_replica.document, message, source
    )
    if result.is_error():
        log_findings(source, result.error)
        return
    if table.document_replica.accept(result.ok):
        await table.callbacks.document_changed()


def log_findings(source: str, findings: list[Any]) -> None:
    """Log why a document was rejected, one line for each finding.

    :param source: sender of the document.
    :param findings: the findings.
    """
    for finding in findings:
        log_event(
            "document_refused", "ERROR", source=source, finding=str(finding)
        )
