"""What an instance does with each message of its peers."""

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
from carawayvale.links.peers import handle_message
from carawayvale.links.peers import PeerTable
from carawayvale.telemetry.logs import log_event

SECTIONS_TIMEOUT_S = 2.0
VIEW_DISPUTE_S = 2.0


@handle_message(Heartbeat)
async def take_heartbeat(
    table: PeerTable, link: PeerLink, message: Heartbeat
) -> None:
    """Note that the peer lives; ask for what it knows better."""
    now_s = table.clock.read()
    name = link.peer.name
    table.membership.meet(name, message.incarnation, now_s)
    if message.revision > table.keeper.revision:
        await ask_sections(table, link, now_s)
    elif message.revision < table.keeper.revision:
        log_event(
            "older_revision_seen",
            "DEBUG",
            peer=name,
            revision=message.revision,
            in_force=table.keeper.revision,
        )
    opened = table.links.get(name)
    if opened is None:
        return
    if message.view_hash == table.membership.view_hash:
        opened.disputed_s = 0.0
    elif not opened.disputed_s:
        opened.disputed_s = now_s
    elif now_s - opened.disputed_s >= VIEW_DISPUTE_S:
        opened.disputed_s = now_s
        await link.post(MembersRequest())


async def ask_sections(table: PeerTable, link: PeerLink, now_s: float) -> None:
    """Ask a peer for changed sections, unless another is being asked.

    :param table: the links.
    :param link: link with the peer.
    :param now_s: the time.
    """
    if now_s - table.sections_asked_s < SECTIONS_TIMEOUT_S:
        return
    table.sections_asked_s = now_s
    document = table.keeper.document
    await link.post(SectionsRequest(document.revision, document.digest))


@handle_message(MembersRequest)
async def send_members(
    table: PeerTable, link: PeerLink, message: MembersRequest
) -> None:
    """Send the whole member list."""
    await link.post(Members(tuple(table.membership.records.values())))


@handle_message(Members)
@handle_message(Updates)
async def take_members(
    table: PeerTable, link: PeerLink, message: Members | Updates
) -> None:
    """Take over records that overrule the known ones."""
    now_s = table.clock.read()
    for record in message.records:
        known = table.membership.records.get(record.name)
        if table.membership.receive(record, now_s):
            log_change(known, record)
    await table.update_neighbours()
    await table.send_updates()


def log_change(known: Any, record: Any) -> None:
    """Log a change of a member's state.

    :param known: the record before, or None.
    :param record: the record now.
    """
    if known is None or known.state is not record.state:
        log_event(
            "member_changed",
            name=record.name,
            state=record.state.name.lower(),
            incarnation=record.incarnation,
            version=record.version,
        )


@handle_message(Reports)
async def take_reports(
    table: PeerTable, link: PeerLink, message: Reports
) -> None:
    """Take over headroom and the platform's list."""
    news = table.callbacks.take_reports(link.peer, message)
    if news is not None:
        await table.relay_reports(news, link.peer.name)


@handle_message(ProbeRequest)
async def answer_probe(
    table: PeerTable, link: PeerLink, message: ProbeRequest
) -> None:
    """Tell a peer that another instance is heard here."""
    record = table.membership.records.get(message.target)
    meets = table.membership.meets(message.target, table.clock.read())
    if record is not None and meets:
        await link.post(
            ProbeReply(record.name, record.incarnation, record.version)
        )


@handle_message(ProbeReply)
async def take_probe_reply(
    table: PeerTable, link: PeerLink, message: ProbeReply
) -> None:
    """Note that a peer hears a silent instance."""
    now_s = table.clock.read()
    table.membership.hear(message.target, message.incarnation, now_s)


@handle_message(SectionsRequest)
async def send_sections(
    table: PeerTable, link: PeerLink, message: SectionsRequest
) -> None:
    """Send what changed in the document since the peer's revision."""
    if table.keeper.revision > message.revision:
        await link.post(
            table.keeper.collect_since(message.revision, message.digest)
        )


@handle_message(Sections)
async def take_sections(
    table: PeerTable, link: PeerLink, message: Sections
) -> None:
    """Put changed sections in force after checking them."""
    table.sections_asked_s = 0.0
    if message.revision <= table.keeper.revision:
        return
    source = f"peer {link.peer.name}"
    result = await curio.run_in_thread(
        apply_change, table.keeper.document, message, source
    )
    if result.is_error():
        log_findings(source, result.error)
        return
    if table.keeper.accept(result.ok):
        await table.callbacks.document_changed()


def log_findings(source: str, findings: list[Any]) -> None:
    """Log why a document was not put in force.

    :param source: where it came from.
    :param findings: the findings.
    """
    for finding in findings:
        log_event(
            "document_refused", "ERROR", source=source, finding=str(finding)
        )
