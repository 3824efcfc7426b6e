"""Handlers of the messages between peers about the document."""

from typing import Any

import curio

from carawayvale.links.document_messages import Reports
from carawayvale.links.document_messages import Sections
from carawayvale.links.document_messages import SectionsRequest
from carawayvale.links.document_replica import apply_change
from carawayvale.links.messages import Heartbeat
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.peers import PeerTable
from carawayvale.links.peers import register_message_handler
from carawayvale.links.report_gossip import relay_reports
from carawayvale.telemetry.logs import log_event

SECTIONS_TIMEOUT_S = 2.0


@register_message_handler(Heartbeat)
async def handle_revision(
    table: PeerTable, link: PeerLink, message: Heartbeat
) -> None:
    """Request the changed sections if the peer has a newer document."""
    replica = table.document_replica
    if replica is None:
        return
    if message.revision > replica.revision:
        await request_sections(table, link, table.clock.read())
    elif message.revision < replica.revision:
        log_event(
            "older_revision_seen",
            "DEBUG",
            peer=link.peer.name,
            revision=message.revision,
            in_force=replica.revision,
        )


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


@register_message_handler(Reports)
async def handle_reports(
    table: PeerTable, link: PeerLink, message: Reports
) -> None:
    """Merge the reports of a peer, and relay those that are new."""
    unseen = table.callbacks.merge_reports(link.peer, message)
    if unseen is not None:
        await relay_reports(table, unseen, link.peer.name)


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
