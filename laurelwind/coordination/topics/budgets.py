"""Budgets for the age of what a daemon knows of each topic.

A bound of the settings, such as ``apply_s``, is spent on the way of a change
from the store to the daemon that must act on it.  The shares below add up to
one budget, so that every wait on that way follows from the bound:

=============================== ===========================================
age as a share of the bound     what happens
=============================== ===========================================
0 to ``SOURCE_AGE``             a source reads the store, with waits of up to
                                ``SOURCE_WAIT`` or a delay of ``COALESCING``
up to ``COPY_AGE``              its copy is served to other daemons
up to ``LEAVE_AGE``             others wait for the copy of their source
``FIRST_READ`` to ``LAST_READ`` others wait for the next daemon of the zone,
                                and read the store themselves at the end
up to ``MAX_AGE``               the store answers; daemons that read for
                                themselves only wait within ``DIRECT_AGE``
=============================== ===========================================

What is left of the bound is time to send a request that was placed just before.
"""

from collections.abc import Mapping
from typing import Final

from attrs import define, frozen

from laurelwind.coordination.rollouts.progress import MAX_STATUS_AGE_S
from laurelwind.protocol.keyed_store import Topic

# Wait of a source for a change, and the age up to which its copy may grow
# meanwhile: the read after it takes as long again.
SOURCE_WAIT: Final = 0.2
SOURCE_AGE: Final = 0.45
# The same for a daemon that reads for itself only.
DIRECT_WAIT: Final = 0.35
DIRECT_AGE: Final = 0.75
# Delay after a read with changes, which coalesces those of many endpoints.
COALESCING: Final = 0.25
COPY_AGE: Final = 0.5
LEAVE_AGE: Final = 0.55
# The first one that reads the store serves those behind it.
FIRST_READ: Final = 0.6
LAST_READ: Final = 0.65
# Time for the answer of a peer beyond a wait.
PEER_ANSWER: Final = 0.05
MAX_AGE: Final = 0.8

# An older list of members costs callers an attempt at a daemon that has left.
MEMBERS_BOUND_S: Final = 5.0


@define(kw_only=True)
class AgeBudget:
    """The budget of one topic.

    :ivar bound_s: seconds after which a change of the topic must be in force.
    """

    bound_s: float

    @property
    def max_age_s(self) -> float:
        """Age that a daemon which reaches the store does not exceed."""
        return self.bound_s * MAX_AGE

    @property
    def copy_age_s(self) -> float:
        """Largest age of a copy that is served to other daemons."""
        return self.bound_s * COPY_AGE

    @property
    def direct_wait_s(self) -> float:
        """Longest wait of a read of the store that serves no other daemon."""
        return self.bound_s * DIRECT_WAIT

    @property
    def coalescing_s(self) -> float:
        """Delay after a read with changes."""
        return self.bound_s * COALESCING

    @property
    def expiry_period_s(self) -> float:
        """Interval at which lapsed records are looked for."""
        return self.bound_s * PEER_ANSWER

    @property
    def leave_age_s(self) -> float:
        """Age at which a daemon leaves its source for the next one."""
        return self.bound_s * LEAVE_AGE

    @property
    def peer_answer_s(self) -> float:
        """Time for the answer of a peer beyond a wait."""
        return self.bound_s * PEER_ANSWER

    def limit_source_wait(self, age_s: float) -> float:
        """Return the longest wait at the store of a daemon with readers.

        :param age_s: age of its copy, in seconds.
        """
        left_s = self.bound_s * SOURCE_AGE - age_s
        return min(max(left_s, 0), self.bound_s * SOURCE_WAIT)

    def limit_direct_wait(self, age_s: float) -> float:
        """Return the longest wait at the store of a daemon without readers.

        :param age_s: age of what it knows, in seconds.
        """
        left_s = self.bound_s * DIRECT_AGE - age_s
        return min(max(left_s, 0), self.direct_wait_s)

    def compute_read_age(self, position: float) -> float:
        """Return the age at which a daemon reads the store itself.

        :param position: place in the order of its zone, from 0 to 1.
        """
        return self.bound_s * (FIRST_READ + (LAST_READ - FIRST_READ) * position)


TopicBudgets = Mapping[Topic, AgeBudget]


@frozen(kw_only=True)
class TopicBounds:
    """Bounds from which the budgets are computed.

    :ivar apply_s: seconds after which a routing table must be in force.
    :ivar drain_s: seconds after which a leaving endpoint gets no more requests.
    """

    apply_s: float
    drain_s: float


def build_budgets(bounds: TopicBounds) -> TopicBudgets:
    """Build the budget of each topic.

    :param bounds: bounds of the settings.
    """
    return {
        Topic.OPERATORS: AgeBudget(bound_s=bounds.apply_s),
        Topic.ENDPOINTS: AgeBudget(bound_s=bounds.drain_s),
        # Target versions are not used while the statuses are older.
        Topic.STATUS: AgeBudget(bound_s=MAX_STATUS_AGE_S),
        Topic.MEMBERS: AgeBudget(bound_s=MEMBERS_BOUND_S),
    }


def update_budgets(budgets: TopicBudgets, bounds: TopicBounds) -> None:
    """Change the bounds of budgets that are in use.

    :param budgets: the budgets.
    :param bounds: new bounds.
    """
    for topic, budget in build_budgets(bounds).items():
        budgets[topic].bound_s = budget.bound_s
