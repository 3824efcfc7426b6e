"""Settings of the whole test run."""

import os
from pathlib import Path

from hypothesis import settings
import pytest

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_MARK = "test:"


def pytest_collection_modifyitems(items):
    """Let CI run the tests of KNOWN-RED.txt without failing over them."""
    if not os.environ.get("CI"):
        return
    lines = KNOWN_RED.read_text().splitlines()
    red = {
        line.removeprefix(TEST_MARK).strip()
        for line in lines
        if line.startswith(TEST_MARK)
    }
    for item in items:
        if item.nodeid in red:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            item.add_marker(mark)
