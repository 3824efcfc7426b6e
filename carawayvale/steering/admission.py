"""Admits and queues the requests for one endpoint at its owner.

Answers the load of more requests than slots. A request that can still be
answered within its objective goes first, by rank and then by arrival.
Next come requests for new objects at the endpoint that is to keep them:
each of them makes many others fast. One that is late is queued behind
those while it is likely to end before its limit. A request that cannot
be served is refused at once.
"""

from dataclasses import dataclass
from enum import IntEnum
import heapq

from carawayvale.steering.rates import ColdRateLimit
from carawayvale.steering.rates import WindowCounter
from carawayvale.steering.service_times import ServiceTimes

# Before the first answer, a request is taken to need this part of its
# objective.
FIRST_PART = 0.5

# A request that has to wait for this many service times to teach an
# endpoint its object may find another region that knows it.
LEARN_WAITS = 1.0

# A late request is overtaken by those in time that arrive after it, so
# its estimated wait may be this part of the time that it can wait.
LATE_PART = 0.6

# Late requests that wait are bounded by how many started lately: under
# a lasting overload no slot is left for them.
LATE_WINDOW_S = 2.0


class QueueClass(IntEnum):
    """Which of the waiting requests go first."""

    IN_TIME = 0
    LEARNING = 1
    LATE = 2


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits for a slot or holds one.

    :param rank: priority; 0 is the most urgent.
    :param key: the object that it concerns.
    :param objective_s: time by which its answer is worth most.
    :param deadline_s: time by which its answer is due.
    :param may_be_late: whether it may be queued past its objective.
    :param may_learn: whether the endpoint is the one to keep its object.
    """

    rank: int
    key: str
    objective_s: float
    deadline_s: float
    may_be_late: bool = False
    may_learn: bool = False
    arrived_s: float = 0.0
    started_s: float = 0.0
    service_s: float = 0.0
    queue_class: QueueClass = QueueClass.IN_TIME
    known_object: bool = False
    depth: int = 0


@dataclass(frozen=True)
class Rejection:
    """Why a job is not admitted.

    :param finish_s: seconds until it would be answered.
    :param busy: whether a request for a known object would be refused
        too.
    """

    finish_s: float
    busy: bool = True


class EndpointQueue:
    """The slots of one endpoint and the jobs that wait for them.

    All methods take the time as an argument and do no I/O.

    :param slots: requests that the endpoint runs at once.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.running: set[QueuedRequest] = set()
        self.waiting: list[QueuedRequest] = []
        self.service_times = ServiceTimes()
        self.cold_limit: ColdRateLimit | None = None
        self.late_starts = WindowCounter(LATE_WINDOW_S)

    @property
    def load(self) -> int:
        """Number of jobs that run or wait."""
        return len(self.running) + len(self.waiting)

    def offer(self, job: QueuedRequest, now_s: float) -> Rejection | None:
        """Queue a job unless it would be answered too late.

        :param job: the job.
        :param now_s: the time.
        :returns: None if it is queued.
        """
        job.arrived_s = now_s
        self._judge(job, now_s)
        finish_s = self._simulate(job, now_s, QueueClass.IN_TIME)
        if finish_s <= job.objective_s:
            return self._enter(job, QueueClass.IN_TIME)
        if self._may_learn(job, now_s):
            learned_s = self._simulate(job, now_s, QueueClass.LEARNING)
            soon_s = now_s + (1 + LEARN_WAITS) * job.service_s
            if learned_s <= min(soon_s, job.deadline_s):
                job.may_be_late = True
                return self._enter(job, QueueClass.LEARNING)
        if not job.may_be_late:
            return Rejection(finish_s - now_s, self._is_busy(job, finish_s))
        finish_s = self._simulate(job, now_s, QueueClass.LATE)
        if not self._has_late_room(job, finish_s, now_s):
            return Rejection(finish_s - now_s)
        return self._enter(job, QueueClass.LATE)

    def _enter(self, job: QueuedRequest, turn: QueueClass) -> None:
        job.queue_class = turn
        self.waiting.append(job)

    def _may_learn(self, job: QueuedRequest, now_s: float) -> bool:
        if not job.may_learn or not job.key or job.known_object:
            return False
        return self.service_times.may_learn(now_s)

    def _judge(self, job: QueuedRequest, now_s: float) -> None:
        job.known_object = self.service_times.knows(job.key)
        job.service_s = self.service_times.estimate(job.key)
        if not job.service_s:
            job.service_s = FIRST_PART * max(0.0, job.objective_s - now_s)

    def _is_busy(self, job: QueuedRequest, finish_s: float) -> bool:
        known_s = self.service_times.known_s or job.service_s
        start_s = finish_s - job.service_s
        return start_s + min(known_s, job.service_s) > job.objective_s

    def _has_late_room(
        self, job: QueuedRequest, finish_s: float, now_s: float
    ) -> bool:
        """Tell whether a late request would start early enough."""
        if finish_s > job.deadline_s:
            return False
        if self.load < self.slots:
            return True
        spare_s = LATE_PART * (job.deadline_s - now_s - job.service_s)
        if finish_s - now_s - job.service_s > spare_s:
            return False
        waiting = sum(
            other.queue_class is QueueClass.LATE for other in self.waiting
        )
        rate = self.late_starts.count(now_s) / LATE_WINDOW_S
        return waiting <= rate * spare_s

    def _simulate(
        self, job: QueuedRequest, now_s: float, turn: QueueClass
    ) -> float:
        """Work out when a job would end if it had this turn now."""
        ends = [
            max(now_s, other.started_s + other.service_s)
            for other in self.running
        ]
        ends += [now_s] * (self.slots - len(ends))
        heapq.heapify(ends)
        ready_s = now_s
        if self.cold_limit is not None:
            ready_s = max(now_s, self.cold_limit.next_s)
        for other in self.waiting:
            same = other.queue_class is turn and other.rank <= job.rank
            if other.queue_class < turn or same or turn is QueueClass.LATE:
                start_s = max(ready_s, heapq.heappop(ends))
                heapq.heappush(ends, start_s + other.service_s)
                if self.cold_limit is not None:
                    ready_s += self.cold_limit.spacing_s
        return max(ready_s, heapq.heappop(ends)) + job.service_s

    def take(self, now_s: float) -> QueuedRequest | None:
        """Take the next job that may start.

        :param now_s: the time.
        :returns: the job, which holds a slot from now on, or None.
        """
        if len(self.running) >= self.slots or not self.waiting:
            return None
        if self.cold_limit is not None and not self.cold_limit.is_free(now_s):
            return None
        for job in self.waiting:
            self._renew_turn(job, now_s)
        job = min(self.waiting, key=_order)
        self.waiting.remove(job)
        self.running.add(job)
        self._judge(job, now_s)
        job.started_s = now_s
        if job.queue_class is QueueClass.LATE:
            self.late_starts.add(now_s)
        if self.cold_limit is not None:
            self.cold_limit.record_send(now_s)
        if job.key:
            job.depth = self.service_times.remember(job.key, now_s)
        return job

    def _renew_turn(self, job: QueuedRequest, now_s: float) -> None:
        """Follow what the endpoint has learned, and the time."""
        if job.queue_class is QueueClass.LEARNING and self.service_times.knows(
            job.key
        ):
            self._judge(job, now_s)
            job.queue_class = QueueClass.IN_TIME
        if job.queue_class is QueueClass.IN_TIME:
            if now_s + job.service_s > job.objective_s:
                job.queue_class = QueueClass.LATE

    def drop_infeasible(self, now_s: float) -> list[QueuedRequest]:
        """Take out the jobs that can no longer end when they should.

        That is the limit for a job that may be late; any other is given
        back as soon as it would miss its objective, so that it can be
        tried elsewhere.

        :param now_s: the time.
        :returns: the jobs.
        """
        hopeless = [
            job for job in self.waiting if not self._may_end(job, now_s)
        ]
        for job in hopeless:
            self.waiting.remove(job)
        return hopeless

    @staticmethod
    def _may_end(job: QueuedRequest, now_s: float) -> bool:
        due_s = job.deadline_s if job.may_be_late else job.objective_s
        return now_s + job.service_s <= due_s

    def withdraw(self, job: QueuedRequest) -> bool:
        """Take a waiting job out of the queue.

        :param job: the job.
        :returns: whether it was waiting.
        """
        if job in self.waiting:
            self.waiting.remove(job)
            return True
        return False

    def release(self, job: QueuedRequest, now_s: float, served: bool) -> None:
        """Give back the slot of a job.

        :param job: the job.
        :param now_s: the time.
        :param served: whether its service time is a valid sample.
        """
        self.running.discard(job)
        if served:
            took_s = now_s - job.started_s
            self.service_times.record(
                job.key, job.known_object, took_s, job.depth
            )

    def find_next_start(self, now_s: float) -> float | None:
        """Find when a waiting job may start without an event.

        :param now_s: the time.
        :returns: the time, or None if none is due.
        """
        if not self.waiting or self.cold_limit is None:
            return None
        if len(self.running) >= self.slots:
            return None
        return max(now_s, self.cold_limit.next_s)


def _order(job: QueuedRequest) -> tuple[QueueClass, int, float]:
    return (job.queue_class, job.rank, job.arrived_s)
