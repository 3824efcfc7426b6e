"""Run a link with a peer from its handshake to its end."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from carawayvale.links.messages import BadMessage
from carawayvale.links.messages import Members
from carawayvale.links.peer_link import HANDSHAKE_TIMEOUT_S
from carawayvale.links.peer_link import LinkBroken
from carawayvale.links.peer_link import LinkClosed
from carawayvale.links.peer_link import LinkRefused
from carawayvale.links.peer_link import PeerLink
from carawayvale.links.sockets import StreamSocket
from carawayvale.telemetry.logs import log_event

if TYPE_CHECKING:
    from carawayvale.links.peers import PeerTable


@dataclass
class ActiveLink:
    """A link in use.

    :param link: the link.
    :param opened_s: time at which the link was opened.
    :param mismatch_since_s: time since which the view hash of the peer
        differs; 0 if it is equal.
    """

    link: PeerLink
    opened_s: float
    mismatch_since_s: float = 0.0


async def serve_link(
    table: "PeerTable", sock: StreamSocket, handshake: Callable
) -> None:
    """Perform the handshake on a socket, then run the link until it ends.

    :param table: links of this instance.
    :param sock: the connected socket.
    :param handshake: performs the handshake as one of the two sides.
    """
    own_record = table.membership.own_record
    try:
        link = await curio.timeout_after(
            HANDSHAKE_TIMEOUT_S, handshake, sock, table.key, own_record
        )
    except LinkRefused as error:
        log_event("peer_refused", "WARNING", cause=str(error))
        return
    except (LinkBroken, BadMessage, curio.TaskTimeout) as error:
        log_event("peer_handshake_failed", "DEBUG", cause=str(error))
        return
    if link.peer.name == own_record.name:
        # With an equal incarnation, the instance dialled itself.
        if link.peer.incarnation != own_record.incarnation:
            log_event("name_taken", "ERROR", name=own_record.name)
        return
    await _run_link(table, link)


async def _run_link(table: "PeerTable", link: PeerLink) -> None:
    name = link.peer.name
    now_s = table.clock.read()
    old = table.links.get(name)
    table.links[name] = ActiveLink(link, now_s)
    if old is not None:
        await old.link.close()
    table.membership.receive(link.peer, now_s)
    table.membership.record_direct_heartbeat(
        name, link.peer.incarnation, now_s
    )
    await link.post(Members(tuple(table.membership.records.values())))
    if table.crash_reports is not None:
        await table.crash_reports.greet(link)
    if table.age_reports is not None:
        await table.age_reports.greet(link)
    await table.update_neighbours()
    closed = False
    try:
        await link.run(table.handle_message)
    except LinkClosed:
        closed = True
    except curio.CancelledError:
        # This process ends the link, which says nothing of the peer.
        closed = True
        raise
    except BadMessage as error:
        log_event("bad_message", "WARNING", peer=name, cause=str(error))
    except LinkBroken as error:
        log_event("link_broken", "DEBUG", peer=name, cause=str(error))
    finally:
        await _remove_link(table, name, link, closed)


async def _remove_link(
    table: "PeerTable", name: str, link: PeerLink, closed: bool
) -> None:
    table.closed_traffic = table.closed_traffic.add(link)
    current = table.links.get(name)
    if current is not None and current.link is link:
        del table.links[name]
        if not closed and not link.is_closing:
            generation = table.membership.generation
            table.membership.suspect_disconnected(name, table.clock.read())
            if table.membership.generation != generation:
                table.log_verdict(name, "link_broken")
    await link.sock.close()
