"""The stop of a daemon, as requests see it."""

import math

from attrs import define


@define(kw_only=True)
class StopLimit:
    """Moment until which answers can be delivered.

    :ivar ends_at: that moment on the monotonic clock; infinite unless the
        daemon is stopping.
    """

    ends_at: float = math.inf
