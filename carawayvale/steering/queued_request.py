"""Requests in the queue of an endpoint, and rejections by it."""

from dataclasses import dataclass
from enum import IntEnum


class QueueClass(IntEnum):
    """Class of a waiting request; lower classes start first.

    IN_TIME requests are expected to finish by their objective, LEARNING
    requests warm up a new object, and LATE requests will miss their
    objective.
    """

    IN_TIME = 0
    LEARNING = 1
    LATE = 2


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits for a slot or holds one.

    :param rank: priority; 0 is the most urgent.
    :param key: the object that the request concerns; empty for none.
    :param objective_s: latency objective, as a time; the response is
        worth most before it.
    :param deadline_s: time by which the response is due.
    :param may_be_late: whether it may be queued past its objective.
    :param may_warm_up: whether the endpoint is the one to keep the
        object, so the request may warm it up there.
    :param queued_s: time at which it was offered to the queue.
    :param started_s: time at which it got a slot.
    :param service_time_s: estimated service time in seconds.
    :param queue_class: class that decides when it starts.
    :param is_warm: whether the endpoint handled the object lately.
    :param has_estimate: whether the estimate rests on samples.
    :param reuse_distance: see :meth:`ServiceTimes.record_use`.
    :param organisation: name of the caller's organisation; empty if there
        are none.
    :param expected_s: seconds until it would have finished, if it was
        removed because others came before it.
    :param answered_by_repeat: whether a repeat was answered first, so
        that its service time is not known.
    """

    rank: int
    key: str
    objective_s: float
    deadline_s: float
    may_be_late: bool = False
    may_warm_up: bool = False
    queued_s: float = 0.0
    started_s: float = 0.0
    service_time_s: float = 0.0
    queue_class: QueueClass = QueueClass.IN_TIME
    is_warm: bool = False
    has_estimate: bool = False
    reuse_distance: int = 0
    answered_by_repeat: bool = False
    organisation: str = ""
    expected_s: float = 0.0

    def limit_times(self, until_s: float) -> None:
        """Limit the times by which the response is due.

        :param until_s: latest time.
        """
        self.objective_s = min(self.objective_s, until_s)
        self.deadline_s = min(self.deadline_s, until_s)


@dataclass(frozen=True)
class Rejection:
    """Estimates behind the decision not to admit a request.

    :param finish_s: seconds until the request would finish.
    :param busy: whether a request for a warm object would be rejected
        too.
    """

    finish_s: float
    busy: bool = True
