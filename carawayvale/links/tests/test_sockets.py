"""Tests of sockets that are closed while tasks wait on them."""

import gc
import socket as plain_socket

import curio
import pytest

from carawayvale.capacity.link_meter import LinkMeter
from carawayvale.contracts.address import Address
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.links.listener import open_listener
from carawayvale.links.sockets import open_socket
from carawayvale.links.sockets import open_socket_pair
from carawayvale.links.sockets import StreamSocket

LOCALHOST = Address("127.0.0.1", 0)

# Turns of the event loop within which a task is woken and has run.
TURNS = 8

TIMEOUT_S = 5.0


async def turn(number):
    """Let the event loop turn a number of times."""
    for _ in range(number):
        await curio.sleep(0)


async def wait_to_read(sock):
    """Read until the stream ends, and tell what ended it."""
    try:
        while await sock.recv(1):
            pass
    except OSError as error:
        return type(error)
    return None


async def wait_to_write(sock):
    """Write until that fails, and tell what ended it."""
    try:
        while True:
            await sock.sendall(b"x" * 65536)
    except OSError as error:
        return type(error)


async def wait_to_accept(sock):
    """Accept connections until that fails, and tell what ended it."""
    try:
        while True:
            await sock.accept()
    except OSError as error:
        return type(error)


WAITS = {"read": wait_to_read, "write": wait_to_write}


async def use_new_sockets(count):
    """Open sockets, so that free numbers are used again, and wait on them."""
    pairs = [open_socket_pair() for _ in range(count)]
    for first, second in pairs:
        reader = await curio.spawn(first.recv, 1, daemon=True)
        await curio.sleep(0)
        await second.sendall(b"x")
        assert await curio.timeout_after(TIMEOUT_S, reader.join) == b"x"
        await first.close()
        await second.close()


class TestClosesInEveryTurn:
    # Guards against a descriptor that is closed, and whose number is used
    # again, while a task that was woken on it has not run (review/11).
    @pytest.mark.parametrize("operation", WAITS)
    @pytest.mark.parametrize("wakes", [False, True])
    @pytest.mark.parametrize("number", range(TURNS))
    def test_number_is_not_used_while_a_task_waits(
        self, number, wakes, operation
    ):
        async def run():
            first, second = open_socket_pair()
            descriptor = first.fileno()
            task = await curio.spawn(WAITS[operation], first, daemon=True)
            await turn(TURNS)
            if wakes:
                # The waiting task gets ready with the next turns.
                await second.close()
            await turn(number)
            await first.close()
            if first.waits:
                assert first.fileno() == descriptor
            opened = plain_socket.socket()
            assert not first.waits or opened.fileno() != descriptor
            opened.close()
            await use_new_sockets(4)
            error = await curio.timeout_after(TIMEOUT_S, task.join)
            assert first.fileno() == -1
            if not wakes:
                assert error is ConnectionAbortedError

        curio.run(run)

    @pytest.mark.parametrize("number", range(TURNS))
    def test_waiting_task_may_be_cancelled_meanwhile(self, number):
        async def run():
            first, second = open_socket_pair()
            task = await curio.spawn(wait_to_read, first, daemon=True)
            await turn(TURNS)
            await second.sendall(b"x")
            await turn(number)
            await task.cancel(blocking=False)
            await first.close()
            await use_new_sockets(4)
            await task.wait()
            assert first.fileno() == -1
            await second.close()

        curio.run(run)

    @pytest.mark.parametrize("number", range(TURNS))
    def test_reader_and_writer_both_end(self, number):
        async def run():
            first, second = open_socket_pair()
            tasks = [
                await curio.spawn(wait, first, daemon=True)
                for wait in WAITS.values()
            ]
            await turn(TURNS)
            await second.recv(65536)
            await turn(number)
            await first.close()
            await use_new_sockets(4)
            for task in tasks:
                error = await curio.timeout_after(TIMEOUT_S, task.join)
                assert error is ConnectionAbortedError
            assert first.fileno() == -1
            await second.close()

        curio.run(run)

    @pytest.mark.parametrize("number", range(TURNS))
    def test_listener_and_connection_attempt(self, number):
        async def run():
            listener = open_listener(LOCALHOST)
            address = listener.getsockname()
            acceptor = await curio.spawn(wait_to_accept, listener, daemon=True)
            await turn(TURNS)
            client = open_socket(LOCALHOST)
            connector = await curio.spawn(client.connect, address, daemon=True)
            await turn(number)
            await listener.close()
            await client.close()
            await use_new_sockets(4)
            error = await curio.timeout_after(TIMEOUT_S, acceptor.join)
            assert error is ConnectionAbortedError
            await curio.timeout_after(TIMEOUT_S, connector.wait)
            assert listener.fileno() == client.fileno() == -1

        curio.run(run)

    def test_all_closes_of_one_loop(self):
        """Many connections at once, each closed in another turn."""

        async def end(first, second, number):
            await turn(number % TURNS)
            await second.close()
            await turn(number // TURNS)
            await first.close()
            await use_new_sockets(1)

        async def run():
            async with curio.TaskGroup() as group:
                for number in range(TURNS * TURNS):
                    first, second = open_socket_pair()
                    await group.spawn(wait_to_read, first)
                    await group.spawn(end, first, second, number)

        curio.run(run)


class TestClosedSockets:
    def test_closed_socket_refuses_all_use(self):
        async def run():
            first, second = open_socket_pair()
            await first.close()
            await first.close()
            for use in (first.recv(1), first.sendall(b"x"), first.accept()):
                with pytest.raises(ConnectionAbortedError):
                    await use
            for use in (first.shut_down, first.abort):
                with pytest.raises(ConnectionAbortedError):
                    use()
            await second.close()

        curio.run(run)

    def test_task_that_did_not_wait_sees_no_end_of_the_stream(self):
        """An end that this side makes is not that of the other side."""

        async def run():
            first, second = open_socket_pair()
            waiting = await curio.spawn(wait_to_read, first, daemon=True)
            await turn(TURNS)
            await first.close()
            assert await wait_to_read(first) is ConnectionAbortedError
            await waiting.wait()
            await second.close()

        curio.run(run)

    def test_destroyed_task_leaves_no_descriptor(self):
        async def run():
            first, second = open_socket_pair()
            reader = first.recv(1)
            reader.send(None)
            await first.close()
            assert first.fileno() != -1
            reader.close()
            assert first.fileno() == -1
            await second.close()

        curio.run(run)
        gc.collect()

    def test_accepted_sockets_are_of_this_kind(self):
        async def run():
            listener = open_listener(LOCALHOST)
            client = open_socket(LOCALHOST)
            await client.connect(listener.getsockname())
            accepted, _ = await listener.accept()
            assert type(accepted) is StreamSocket
            for sock in (accepted, client, listener):
                await sock.close()

        curio.run(run)


class TestLargeMessagesOnASmallLink:
    """A link of 1 MB/s that several sockets of a process share."""

    LARGE_BYTES = 300_000
    SMALL_BYTES = 500

    def make_pairs(self, count, link):
        pairs = [open_socket_pair() for _ in range(count)]
        for sender, _ in pairs:
            sender.link = link
        return pairs

    def play(self, large):
        """Send large messages and, meanwhile, small ones on another socket.

        Return how long the link kept the small ones, and the whole time.
        """
        link, queues_s = LinkMeter(8.0), []

        async def drain(sock, size):
            while size > 0:
                size -= len(await sock.recv(65536))

        async def send_small(sock):
            while True:
                await sock.sendall(b"x" * self.SMALL_BYTES)
                queues_s.append(link.find_queue(read_boot_clock()))
                await curio.sleep(0.01)

        async def main():
            *pairs, (small, sink) = self.make_pairs(large + 1, link)
            started_s = read_boot_clock()
            async with curio.TaskGroup() as group:
                for sender, receiver in pairs:
                    await group.spawn(drain, receiver, self.LARGE_BYTES)
                    await group.spawn(sender.sendall, b"x" * self.LARGE_BYTES)
                other = await curio.spawn(send_small, small, daemon=True)
            took_s = read_boot_clock() - started_s
            await other.cancel()
            for pair in (*pairs, (small, sink)):
                for sock in pair:
                    await sock.close()
            return max(queues_s), took_s

        return curio.run(main)

    def test_small_message_waits_for_one_piece_of_each_at_most(self):
        queue_s, took_s = self.play(large=3)
        # 0.9 s of large messages; pieces of 20 ms go on at 50 ms.
        assert queue_s <= 0.05 + 3 * 0.021 + 0.01
        assert took_s < 1.5

    def test_closing_ends_a_message_that_waits_for_the_link(self):
        link = LinkMeter(8.0)

        async def main():
            ((sender, receiver),) = self.make_pairs(1, link)
            link.record_sent(10_000_000, read_boot_clock())
            task = await curio.spawn(sender.sendall, b"x" * self.LARGE_BYTES)
            await turn(TURNS)
            await task.cancel()
            await sender.close()
            await receiver.close()
            return task.cancelled

        assert curio.run(main)

    def test_unknown_bandwidth_sends_at_once(self):
        async def main():
            ((sender, receiver),) = self.make_pairs(1, LinkMeter())
            await sender.sendall(b"x" * 100_000)
            await sender.close()
            await receiver.close()
            return sender.link.sent_bytes

        assert curio.run(main) == 100_000
