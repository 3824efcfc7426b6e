"""Load generator that repeats one HTTP request.

It runs as a separate process: it reads its task as JSON from the command
line and prints its result as JSON.
"""

import json
import sys
import time

import curio
from curio import socket

END_OF_HEAD = b"\r\n\r\n"
LENGTH_HEADER = b"content-length: "
READ_BYTES = 65536


def find_response_end(data: bytes) -> int:
    """Find the end of an HTTP response with a content length.

    :param data: data read so far.
    :returns: length of the response, or 0 if it is incomplete.
    """
    head_end = data.find(END_OF_HEAD)
    if head_end < 0:
        return 0
    head = data[:head_end].lower()
    start = head.find(LENGTH_HEADER)
    line = head[start + len(LENGTH_HEADER) :].split(b"\r\n", 1)[0]
    end = head_end + len(END_OF_HEAD) + int(line)
    return end if len(data) >= end else 0


async def send_repeatedly(
    port: int, request: bytes, end_s: float, interval_s: float, result: dict
) -> None:
    """Send a request repeatedly over one connection.

    :param port: port on the loopback address.
    :param request: the request.
    :param end_s: time on the monotonic clock after which no request is
        sent.
    :param interval_s: time between two requests in seconds; 0 for as
        many requests as possible.
    :param result: collects statuses and latencies.
    :raises ConnectionError: if the connection is closed.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    next_s = time.monotonic()
    async with sock:
        while time.monotonic() < end_s:
            start_s = time.monotonic()
            await sock.sendall(request)
            data = b""
            while not find_response_end(data):
                chunk = await sock.recv(READ_BYTES)
                if not chunk:
                    raise ConnectionError(
                        "connection closed before the response"
                    )
                data += chunk
            status = int(data[9:12])
            result["statuses"][status] = result["statuses"].get(status, 0) + 1
            if status == 200:
                latency_s = time.monotonic() - start_s
                result["latencies_s"].append(latency_s)
            if interval_s:
                next_s = max(next_s + interval_s, time.monotonic())
                await curio.sleep(max(0, next_s - time.monotonic()))


async def generate_load(task: dict) -> dict:
    """Send a request repeatedly over several connections.

    :param task: port, request, seconds, connections and rate; a rate of
        0 sends as many requests as possible.
    :returns: number of responses by status, latencies of the responses
        with status 200, and duration of the run in seconds.
    """
    result = {"statuses": {}, "latencies_s": []}
    start_s = time.monotonic()
    end_s = start_s + task["seconds"]
    interval_s = task["connections"] / task["rate"] if task["rate"] else 0.0
    async with curio.TaskGroup() as group:
        for _ in range(task["connections"]):
            await group.spawn(
                send_repeatedly,
                task["port"],
                task["request"].encode(),
                end_s,
                interval_s,
                result,
            )
    result["seconds"] = time.monotonic() - start_s
    return result


if __name__ == "__main__":
    print(json.dumps(curio.run(generate_load, json.loads(sys.argv[1]))))
