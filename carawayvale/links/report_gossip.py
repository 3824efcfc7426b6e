"""Send the reports of instances about free slots to their peers."""

from typing import TYPE_CHECKING

from carawayvale.links.peer_link import pack_message

if TYPE_CHECKING:
    from carawayvale.links.document_messages import Reports
    from carawayvale.links.peers import PeerTable

RELAY_FANOUT = 3


async def send_reports(table: "PeerTable") -> None:
    """Send the reports of this instance on each link.

    :param table: links of this instance.
    """
    packed: dict[str, bytes] = {}
    for active in list(table.links.values()):
        region = active.link.peer.region
        if region not in packed:
            message = table.callbacks.make_reports(region)
            packed[region] = pack_message(message)
        await active.link.post_packed(packed[region])


async def relay_reports(
    table: "PeerTable", reports: "Reports", source: str
) -> None:
    """Gossip reports to neighbours in the region of this instance.

    In a large region, three random neighbours (RELAY_FANOUT) are
    enough: reports are repeated each second, and every instance that
    receives a new report relays it.

    :param table: links of this instance.
    :param reports: the reports.
    :param source: name of the peer that sent the reports.
    """
    data = pack_message(reports)
    links = table.list_region_links(source)
    if not table.membership.is_full_mesh:
        count = min(RELAY_FANOUT, len(links))
        links = table.random.sample(links, count)
    for link in links:
        await link.post_packed(data)
