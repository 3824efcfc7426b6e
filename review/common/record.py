"""The record of a script: what was sent, answered and run."""

import os
from pathlib import Path
import threading
import time


class Record:
    """Lines with the time since the start, kept in ``record.txt``.

    :param folder: folder of the case.
    """

    def __init__(self, folder):
        self.start_s = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()

    def write(self, event, **fields):
        """Write one line."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            elapsed_s = time.monotonic() - self.start_s
            self.file.write(f"{elapsed_s:9.3f} {event} {pairs}\n")
            self.file.flush()


def has_trouble():
    """Tell whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
