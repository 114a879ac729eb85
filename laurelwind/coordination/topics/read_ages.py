"""How old what a daemon has read of each topic is."""

from collections.abc import Callable

from laurelwind.protocol.keyed_store import Topic
from laurelwind.state.leases import NEVER


class ReadAges:
    """Moments from which the budgets of the topics are spent.

    :param clock: returns the current time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._complete_at: dict[Topic, float] = {}
        self._not_before: dict[Topic, float] = {}
        self._ended_at: dict[Topic, float] = {}

    def get_base(self, topic: Topic) -> float:
        """Return the moment from which the budget of a topic is spent.

        It is the moment at which the records were last known to be complete, or
        a later one after a pause; see :meth:`record_start`.

        :param topic: the topic.
        """
        return max(
            self._complete_at.get(topic, NEVER),
            self._not_before.get(topic, NEVER),
        )

    def record_start(self, topic: Topic, pause_s: float) -> None:
        """Record the start of a read.

        After a pause nobody relies on the topic yet. Its budget is spent as if
        it were as old as the pause, so that many daemons that begin at the same
        time ask one another before they read the store.

        :param topic: the topic.
        :param pause_s: seconds without a read that count as a pause.
        """
        if self._clock() - self._ended_at.get(topic, NEVER) > pause_s:
            self.restart(topic, pause_s)

    def restart(self, topic: Topic, age_s: float) -> None:
        """Spend the budget of a topic as if its records had a given age.

        :param topic: the topic.
        :param age_s: the age in seconds.
        """
        self._not_before[topic] = self._clock() - age_s

    def record_end(self, topic: Topic) -> None:
        """Record the end of a read, successful or not.

        :param topic: the topic.
        """
        self._ended_at[topic] = self._clock()

    def record_success(self, topic: Topic, complete_at: float) -> None:
        """Record a successful read.

        :param topic: the topic.
        :param complete_at: moment at which its records were known to be
            complete.
        """
        self._complete_at[topic] = max(
            self._complete_at.get(topic, NEVER), complete_at
        )
        self._not_before.pop(topic, None)
