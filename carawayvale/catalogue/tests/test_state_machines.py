"""State machines: the catalogue under late, lost and repeated changes."""

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


class WrittenReadings(Source):
    """Decodes what the test wrote; a deletion names what is gone."""

    def __init__(self):
        self.readings = {}

    def decode(self, item):
        if item.value is None:
            return EndpointUpdate(item.key.removeprefix(PREFIX), None)
        return self.readings[item.revision]


class StoreAndInstance(RuleBasedStateMachine):
    """A store that changes, and one instance that hears of it somehow.

    Changes are lost, delayed, repeated and reordered; whole readings
    come in between and may be old. Endpoints start again under the same
    name and count anew.
    """

    @initialize()
    def start(self):
        self.history: list[StoredItem] = []
        self.source = WrittenReadings()
        self.mirror = StoreReplica()
        self.keeper = CatalogueBuilder(self.source)
        self.now_s = 100.0
        self.keeper.record_confirmation(self.now_s)
        self.lives = {name: (100, 0) for name in NAMES}
        self.present: dict[str, StoredItem] = {}
        self.newest = 0
        self.heard: dict[str, tuple[int, int]] = {}

    def write(self, key, reading):
        revision = len(self.history) + 1
        value = None if reading is None else b"x"
        item = StoredItem(key, revision, value)
        self.source.readings[revision] = reading
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
        """An endpoint writes a report, perhaps as a new process."""
        started, sequence = self.lives[name]
        life = (started + 1, 1) if restart else (started, sequence + 1)
        self.lives[name] = life
        endpoint = replace(
            ENDPOINT,
            name=name,
            state=state,
            started_ms=life[0],
            sequence=life[1],
        )
        self.write(PREFIX + name, EndpointUpdate(name, endpoint))

    @rule(name=strategies.sampled_from(NAMES))
    def lapse(self, name):
        """The entry of an endpoint goes."""
        if PREFIX + name in self.present:
            self.write(PREFIX + name, None)

    @rule()
    def configure(self):
        """The operators change the configuration."""
        revision = len(self.history) + 1
        new = Configuration(revision, revision, (), {})
        self.write(CONFIGURATION_KEY, ConfigurationUpdate(new))

    @rule(data=strategies.data())
    def deliver(self, data):
        """Some changes arrive, in any order, perhaps again."""
        if not self.history:
            return
        picked = data.draw(
            strategies.lists(strategies.sampled_from(self.history), max_size=4)
        )
        self.take(self.mirror.apply(picked, self.mirror.revision))

    @rule(back=strategies.integers(0, 5))
    def read_all(self, back):
        """A whole reading arrives that is some changes old."""
        revision = max(0, len(self.history) - back)
        present = {}
        for item in self.history[:revision]:
            if item.value is None:
                present.pop(item.key, None)
            else:
                present[item.key] = item
        self.take(self.mirror.apply_snapshot(present, revision, revision))

    def take(self, news):
        for item in news:
            self.now_s += 0.1
            self.keeper.record_confirmation(self.now_s)
            self.keeper.apply([item], self.now_s)
        self.keeper.take_catalogue()

    @invariant()
    def configuration_never_goes_back(self):
        if not hasattr(self, "keeper"):
            return
        found = self.keeper.configuration
        revision = found.revision if found else 0
        assert revision >= self.newest
        self.newest = revision

    @invariant()
    def reports_never_go_back(self):
        if not hasattr(self, "keeper"):
            return
        for name, endpoint in self.keeper.endpoints.items():
            life = (endpoint.started_ms, endpoint.sequence)
            assert life >= self.heard.get(name, (0, 0))
            self.heard[name] = life

    @rule()
    def settle(self):
        """Everything has arrived: the instance knows what is there."""
        self.read_all(0)
        listed = {
            key.removeprefix(PREFIX)
            for key in self.present
            if key != CONFIGURATION_KEY
        }
        assert self.keeper.endpoints.keys() == listed
        for name, endpoint in self.keeper.endpoints.items():
            assert (endpoint.started_ms, endpoint.sequence) == self.lives[name]


TestStoreAndInstance = StoreAndInstance.TestCase
TestStoreAndInstance.settings = settings(
    max_examples=60, stateful_step_count=30
)
