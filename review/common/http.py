"""A small HTTP/1.1 server and client on plain sockets and threads.

The stand-ins need control over single bytes and over the end of a
connection, which the servers of the standard library don't give.
"""

from dataclasses import dataclass
import socket
import struct
import threading

READ_BYTES = 65536


@dataclass
class Message:
    """A complete request or response.

    :param first: the three words of the first line.
    :param headers: values by lower-case name.
    :param body: the body.
    :param complete: whether the whole body arrived, by its own framing.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self):
        """Status of a response."""
        return int(self.first[1])

    @property
    def path(self):
        """Path of a request."""
        return self.first[1].partition("?")[0]

    @property
    def query(self):
        """Query of a request."""
        return self.first[1].partition("?")[2]

    @property
    def request_id(self):
        """Value of X-Request-Id."""
        return self.headers.get("x-request-id", "")


class Stream:
    """Messages on one connection."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def read_message(self):
        """Read the next message; None if the connection ends before it."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._fill():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        headers = {
            name.strip().lower(): text.strip() for name, _, text in pairs
        }
        length = int(headers.get("content-length", 0))
        body = self._read_body(length)
        complete = len(body) == length
        return Message(lines[0].split(" ", 2), headers, body, complete)

    def _read_body(self, length):
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        parts, missing = [body], length - len(body)
        while missing > 0:
            data = self.sock.recv(min(READ_BYTES, missing))
            if not data:
                break
            parts.append(data)
            missing -= len(data)
        return b"".join(parts)

    def _fill(self):
        data = self.sock.recv(READ_BYTES)
        self.buffer += data
        return bool(data)


def encode_response(status, headers=(), body=b""):
    """Encode a response with a length.

    :param status: the status.
    :param headers: pairs of name and value.
    :param body: the body.
    """
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Server with a thread for each connection.

    Subclasses implement ``answer``, which sends the answer itself.

    :param host: loopback address.
    :param port: the port; 0 for a free one.
    :param backlog: length of the queue of new connections.
    """

    def __init__(self, host, port=0, backlog=128):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(backlog)
        self.address = "%s:%d" % self.listener.getsockname()
        self.accepting = threading.Event()
        self.accepting.set()
        self.sockets = set()
        self._start_accepting()

    def _start_accepting(self):
        arguments = (self.listener,)
        threading.Thread(
            target=self._accept, args=arguments, daemon=True
        ).start()

    def _accept(self, listener):
        while True:
            self.accepting.wait()
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        self.sockets.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(sock)
        try:
            while (request := stream.read_message()) is not None:
                if not request.complete or self.answer(sock, request) is False:
                    break
        except OSError:
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def answer(self, sock, request):
        """Answer a request; return False to close the connection."""
        raise NotImplementedError

    def crash(self):
        """End as a process does: refuse connections, reset the open ones."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.sockets):
            reset(sock)

    def listen_again(self):
        """Listen at the same address again."""
        host, _, port = self.address.rpartition(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen(128)
        self._start_accepting()


def reset(sock):
    """Let the kernel reset a connection when it is closed, and wake readers."""
    linger = struct.pack("ii", 1, 0)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass


class ClientConnection:
    """Connection of a client for several requests, one after the other.

    :param address: address of a gateway.
    :param timeout_s: longest wait for an answer.
    """

    def __init__(self, address, timeout_s=20.0):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), 2.0)
        self.sock.settimeout(timeout_s)
        self.stream = Stream(self.sock)

    def send(self, method, path, headers, body=b""):
        """Send a request.

        :param method: the method.
        :param path: the path.
        :param headers: values by name.
        :param body: the body.
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def read(self):
        """Read the answer; None if the connection ends without one."""
        try:
            return self.stream.read_message()
        except OSError:
            return None

    def close(self):
        """Close the connection."""
        self.sock.close()
