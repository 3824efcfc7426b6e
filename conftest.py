"""Configuration of all test runs."""

import os
from pathlib import Path

from hypothesis import settings
import pytest

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def pytest_collection_modifyitems(items):
    """Mark the tests in KNOWN-RED.txt as expected failures in CI."""
    if not os.environ.get("CI"):
        return
    lines = KNOWN_RED.read_text().splitlines()
    expected_failures = {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }
    for item in items:
        if item.nodeid in expected_failures:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            item.add_marker(mark)
