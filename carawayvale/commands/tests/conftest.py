"""Fixtures that run deployments of real processes."""

import pytest

from benchmarks.deployment import RunningDeployment
from carawayvale.commands.tests.processes import SMALL_ENTRIES


@pytest.fixture(scope="class")
def full_deployment(request, tmp_path_factory):
    """Run all 20 entry instances, once for each test class."""
    with RunningDeployment(tmp_path_factory.mktemp("whole")) as deployment:
        yield deployment


@pytest.fixture
def small_deployment(tmp_path):
    """Run five entry instances in two regions, for one test."""
    with RunningDeployment(tmp_path, SMALL_ENTRIES) as deployment:
        yield deployment
