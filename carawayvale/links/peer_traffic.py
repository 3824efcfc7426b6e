"""Traffic on the links of an instance with its peers."""

from dataclasses import dataclass

from carawayvale.links.peer_link import PeerLink


@dataclass(frozen=True)
class Traffic:
    """Traffic on links, without TCP and IP headers.

    :param sent_bytes: number of bytes sent.
    :param sent_packets: number of writes, about one packet each.
    :param received_bytes: number of bytes received.
    :param received_packets: number of reads, about one packet each.
    :param skipped_messages: number of received messages of unknown types.
    """

    sent_bytes: int
    sent_packets: int
    received_bytes: int
    received_packets: int
    skipped_messages: int

    def add(self, link: PeerLink) -> "Traffic":
        """Add the traffic of a link.

        :param link: the link.
        :returns: the sum.
        """
        return Traffic(
            self.sent_bytes + link.sent_bytes,
            self.sent_packets + link.sent_packets,
            self.received_bytes + link.received_bytes,
            self.received_packets + link.received_packets,
            self.skipped_messages + link.skipped_messages,
        )


NO_TRAFFIC = Traffic(0, 0, 0, 0, 0)
