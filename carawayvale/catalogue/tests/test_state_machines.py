"""State machine test of the catalogue: stale, lost, repeated changes."""

from dataclasses import replace

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from carawayvale.catalogue.builder import CatalogueBuilder
from carawayvale.catalogue.records import Configuration
from carawayvale.catalogue.records import EndpointState
from carawayvale.catalogue.replica import StoredItem
from carawayvale.catalogue.replica import StoreReplica
from carawayvale.catalogue.source import ConfigurationUpdate
from carawayvale.catalogue.source import EndpointUpdate
from carawayvale.catalogue.source import Source
from carawayvale.catalogue.tests.test_builder import ENDPOINT

NAMES = ("i-1", "i-2", "i-3")
CONFIGURATION_KEY = "op/config"
PREFIX = "servers/"


class WrittenUpdates(Source):
    """Source of the updates written by the test.

    A deleted item is decoded as the removal of its endpoint.
    """

    def __init__(self):
        self.updates = {}

    def decode(self, item):
        if item.value is None:
            return EndpointUpdate(item.key.removeprefix(PREFIX), None)
        return self.updates[item.revision]


class StoreAndInstance(RuleBasedStateMachine):
    """A store whose items change, and one instance that replicates them.

    Changes are lost, delayed, repeated and reordered. Snapshots arrive
    in between and may be stale. Endpoints restart under the same name
    and count their reports from the start again.
    """

    @initialize()
    def start(self):
        self.history: list[StoredItem] = []
        self.source = WrittenUpdates()
        self.replica = StoreReplica()
        self.builder = CatalogueBuilder(self.source)
        self.now_s = 100.0
        self.builder.record_confirmation(self.now_s)
        self.written_versions = {name: (100, 0) for name in NAMES}
        self.present: dict[str, StoredItem] = {}
        self.last_revision = 0
        self.last_versions: dict[str, tuple[int, int]] = {}

    def write(self, key, update):
        revision = len(self.history) + 1
        value = None if update is None else b"x"
        item = StoredItem(key, revision, value)
        self.source.updates[revision] = update
        self.history.append(item)
        if value is None:
            self.present.pop(key, None)
        else:
            self.present[key] = item

    @rule(
        name=strategies.sampled_from(NAMES),
        state=strategies.sampled_from(list(EndpointState)),
        restart=strategies.booleans(),
    )
    def report(self, name, state, restart):
        """Write a report of an endpoint, possibly of a new process."""
        started, sequence = self.written_versions[name]
        version = (started + 1, 1) if restart else (started, sequence + 1)
        self.written_versions[name] = version
        endpoint = replace(
            ENDPOINT,
            name=name,
            state=state,
            started_ms=version[0],
            sequence=version[1],
        )
        self.write(PREFIX + name, EndpointUpdate(name, endpoint))

    @rule(name=strategies.sampled_from(NAMES))
    def expire(self, name):
        """Let the entry of an endpoint expire."""
        if PREFIX + name in self.present:
            self.write(PREFIX + name, None)

    @rule()
    def configure(self):
        """Change the configuration as the operators do."""
        revision = len(self.history) + 1
        new = Configuration(revision, revision, (), {})
        self.write(CONFIGURATION_KEY, ConfigurationUpdate(new))

    @rule(data=strategies.data())
    def deliver(self, data):
        """Deliver some changes, in any order and possibly repeated."""
        if not self.history:
            return
        delivered = data.draw(
            strategies.lists(strategies.sampled_from(self.history), max_size=4)
        )
        self.apply(self.replica.apply(delivered, self.replica.revision))

    @rule(lag=strategies.integers(0, 5))
    def deliver_snapshot(self, lag):
        """Deliver a snapshot that lacks the latest changes.

        :param lag: number of missing changes.
        """
        revision = max(0, len(self.history) - lag)
        present = {}
        for item in self.history[:revision]:
            if item.value is None:
                present.pop(item.key, None)
            else:
                present[item.key] = item
        self.apply(self.replica.apply_snapshot(present, revision, revision))

    def apply(self, changes):
        for item in changes:
            self.now_s += 0.1
            self.builder.record_confirmation(self.now_s)
            self.builder.apply([item], self.now_s)
        self.builder.take_catalogue()

    @invariant()
    def configuration_never_goes_back(self):
        if not hasattr(self, "builder"):
            return
        configuration = self.builder.configuration
        revision = configuration.revision if configuration else 0
        assert revision >= self.last_revision
        self.last_revision = revision

    @invariant()
    def reports_never_go_back(self):
        if not hasattr(self, "builder"):
            return
        for name, endpoint in self.builder.endpoints.items():
            version = (endpoint.started_ms, endpoint.sequence)
            assert version >= self.last_versions.get(name, (0, 0))
            self.last_versions[name] = version

    @rule()
    def synchronise(self):
        """Check that a current snapshot makes the present entries known."""
        self.deliver_snapshot(0)
        listed = {
            key.removeprefix(PREFIX)
            for key in self.present
            if key != CONFIGURATION_KEY
        }
        assert self.builder.endpoints.keys() == listed
        for name, endpoint in self.builder.endpoints.items():
            assert (
                endpoint.started_ms,
                endpoint.sequence,
            ) == self.written_versions[name]


TestStoreAndInstance = StoreAndInstance.TestCase
TestStoreAndInstance.settings = settings(
    max_examples=60, stateful_step_count=30
)
