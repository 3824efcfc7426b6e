"""Sends one prepared request over and over; a process of its own."""

import json
import sys
import time

import curio
from curio import socket

END_OF_HEAD = b"\r\n\r\n"
LENGTH_MARK = b"content-length: "
READ_BYTES = 65536


def find_end(data: bytes) -> int:
    """Find the end of an answer with a content length.

    :param data: what has been read.
    :returns: its length, or 0 if more is to be read.
    """
    head_end = data.find(END_OF_HEAD)
    if head_end < 0:
        return 0
    head = data[:head_end].lower()
    start = head.find(LENGTH_MARK)
    line = head[start + len(LENGTH_MARK) :].split(b"\r\n", 1)[0]
    end = head_end + len(END_OF_HEAD) + int(line)
    return end if len(data) >= end else 0


async def send_always(
    port: int, request: bytes, end_s: float, pause_s: float, result: dict
) -> None:
    """Send requests over one connection until a time."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    next_s = time.monotonic()
    async with sock:
        while time.monotonic() < end_s:
            began_s = time.monotonic()
            await sock.sendall(request)
            data = b""
            while not find_end(data):
                piece = await sock.recv(READ_BYTES)
                if not piece:
                    raise ConnectionError("connection closed")
                data += piece
            status = int(data[9:12])
            result["statuses"][status] = result["statuses"].get(status, 0) + 1
            if status == 200:
                took_s = time.monotonic() - began_s
                result["latencies_s"].append(took_s)
            if pause_s:
                next_s = max(next_s + pause_s, time.monotonic())
                await curio.sleep(max(0, next_s - time.monotonic()))


async def hammer(task: dict) -> dict:
    """Send the requests that a task describes.

    :param task: port, request, seconds, connections and rate.
    :returns: statuses, latencies and the length of the run.
    """
    result = {"statuses": {}, "latencies_s": []}
    began_s = time.monotonic()
    end_s = began_s + task["seconds"]
    pause_s = task["connections"] / task["rate"] if task["rate"] else 0.0
    async with curio.TaskGroup() as group:
        for _ in range(task["connections"]):
            await group.spawn(
                send_always,
                task["port"],
                task["request"].encode(),
                end_s,
                pause_s,
                result,
            )
    result["seconds"] = time.monotonic() - began_s
    return result


if __name__ == "__main__":
    print(json.dumps(curio.run(hammer, json.loads(sys.argv[1]))))
