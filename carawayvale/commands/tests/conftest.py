"""Deployments of real processes that tests share."""

import pytest

from benchmarks.deployment import Deployment
from carawayvale.commands.tests.processes import SMALL


@pytest.fixture(scope="class")
def whole(request, tmp_path_factory):
    """Run all 20 entry instances."""
    with Deployment(tmp_path_factory.mktemp("whole")) as deployment:
        yield deployment


@pytest.fixture
def small(tmp_path):
    """Run five entry instances in two regions."""
    with Deployment(tmp_path, SMALL) as deployment:
        yield deployment
