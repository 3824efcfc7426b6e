"""State machine test of the catalogue: stale, lost, repeated changes."""

from dataclasses import replace

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from carawayvale.catalogue.builder import CatalogueBuilder
from carawayvale.catalogue.builder import STORE_RETURN_GRACE_S
from carawayvale.catalogue.position import StorePosition
from carawayvale.catalogue.position import unpack_position
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


def make_present(history):
    """Make the table of the items that are present after some changes."""
    present = {}
    for item in history:
        if item.value is None:
            present.pop(item.key, None)
        else:
            present[item.key] = item
    return present


class StoreAndInstance(RuleBasedStateMachine):
    """A store whose items change, and one instance that replicates them.

    Changes are lost, delayed, repeated and reordered. Snapshots arrive
    in between and may be stale. Endpoints restart under the same name
    and count their reports from the start again. The store returns from a
    copy and gives its revisions out again.
    """

    @initialize()
    def start(self):
        self.epoch = 0
        self.copied = 0
        self.returned = False
        self.version = 0
        self.history: list[StoredItem] = []
        self.all_changes: list[StoredItem] = []
        self.source = WrittenUpdates()
        self.replica = StoreReplica()
        self.builder = CatalogueBuilder(self.source)
        self.now_s = 100.0
        self.builder.record_confirmation(self.now_s)
        self.written_versions = {name: (100, 0) for name in NAMES}
        self.present: dict[str, StoredItem] = {}
        self.last_version = 0
        self.lost: dict[str, object] = {}
        self.last_versions: dict[str, tuple[int, int]] = {}

    def write(self, key, update):
        value = None if update is None else b"x"
        item = StoredItem(key, self.pack(len(self.history) + 1), value)
        self.record(item, update)
        self.lost.pop(key, None)
        if value is None:
            self.present.pop(key, None)
        else:
            self.present[key] = item

    def pack(self, revision):
        return StorePosition(self.epoch, revision).pack()

    def record(self, item, update):
        if isinstance(update, EndpointUpdate):
            endpoint = replace(update.endpoint, revision=item.revision)
            update = replace(update, endpoint=endpoint)
        if isinstance(update, ConfigurationUpdate):
            new = replace(update.configuration, revision=item.revision)
            update = ConfigurationUpdate(new)
        self.source.updates[item.revision] = update
        self.history.append(item)
        self.all_changes.append(item)

    @rule(lost=strategies.integers(1, 6))
    def restore(self, lost):
        """Return from a copy; what was written since is written again.

        :param lost: number of changes that the copy lacks.
        """
        wanted = {
            key: self.source.updates[item.revision]
            for key, item in self.present.items()
        }
        copy = self.history[: max(0, len(self.history) - lost)]
        self.epoch, self.copied = self.epoch + 1, len(copy)
        self.returned = True
        self.history = []
        for item in copy:
            update = self.source.updates[item.revision]
            revision = self.pack(unpack_position(item.revision).revision)
            self.record(replace(item, revision=revision), update)
        self.present = make_present(self.history)
        wanted.update(self.lost)
        keys = wanted.keys() | self.present.keys()
        self.lost = {key: wanted.get(key) for key in keys}

    @precondition(lambda self: getattr(self, "lost", None))
    @rule(data=strategies.data())
    def write_again(self, data):
        """Write an item again; endpoints do so with a new report."""
        key = data.draw(strategies.sampled_from(sorted(self.lost)))
        self.write_lost(key)

    def write_lost(self, key):
        update = self.lost[key]
        if isinstance(update, EndpointUpdate):
            started, sequence = self.written_versions[update.name]
            self.written_versions[update.name] = started, sequence + 1
            endpoint = replace(update.endpoint, sequence=sequence + 1)
            update = replace(update, endpoint=endpoint)
        self.write(key, update)

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
        self.version += 1
        new = Configuration(self.version, self.version, (), {})
        self.write(CONFIGURATION_KEY, ConfigurationUpdate(new))

    @rule(data=strategies.data())
    def deliver(self, data):
        """Deliver some changes, in any order and possibly repeated."""
        if not self.all_changes:
            return
        delivered = data.draw(
            strategies.lists(
                strategies.sampled_from(self.all_changes), max_size=4
            )
        )
        self.apply(self.replica.apply(delivered, self.replica.revision))

    @rule(lag=strategies.integers(0, 5))
    def deliver_snapshot(self, lag):
        """Deliver a snapshot that lacks the latest changes.

        :param lag: number of missing changes.
        """
        count = max(self.copied, len(self.history) - lag)
        revision = self.pack(count)
        present = make_present(self.history[:count])
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
        version = configuration.version if configuration else 0
        assert version >= self.last_version
        self.last_version = version

    @invariant()
    def reports_never_go_back(self):
        if not hasattr(self, "builder"):
            return
        for name, endpoint in self.builder.endpoints.items():
            version = (endpoint.started_ms, endpoint.sequence)
            assert version >= self.last_versions.get(name, (0, 0))
            self.last_versions[name] = version

    def wait_for_grace(self):
        """Let the grace period pass while the store confirms the state."""
        self.returned = False
        end_s = self.now_s + STORE_RETURN_GRACE_S
        while self.now_s < end_s:
            self.now_s += 0.5
            self.builder.record_confirmation(self.now_s)
        self.builder.drop_expired(self.now_s)

    @rule()
    def synchronise(self):
        """Check that a current snapshot makes the present entries known."""
        for key in sorted(self.lost):
            self.write_lost(key)
        self.deliver_snapshot(0)
        if self.returned:
            self.wait_for_grace()
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
