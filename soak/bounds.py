"""The bounds of the deployment that a soak plays, in seconds."""

from typing import Final

REVOCATION_S: Final = 5.0
APPLY_S: Final = 2.0
DRAIN_S: Final = 2.0
STOP_S: Final = 8.0
RECOVERY_S: Final = 12.0
# A daemon counts as out of touch this long after a trouble of its own.
SETTLE_S: Final = 3.0
# Kept connections to an endpoint that were lost are found after this.
ENDPOINT_SETTLE_S: Final = 12.0
# A daemon that showed a table may not act on an older one after this.
ROLLBACK_S: Final = 0.25
# A connection that ends later than this after the request was read needs an
# answer, whether it was passed on or not.
LOSS_S: Final = 0.2
TIMEOUT_S: Final = 3.0
# Final answers are due this long after a route's time limit.
LATE_S: Final = 0.5
EXPOSURE_SHARE: Final = 0.15
EXPOSURE_EXTRA: Final = 30
ROLLOUT_S: Final = 12.0
MAX_ATTEMPTS: Final = 3
EVENT_PAUSE_S: Final = 0.04
# Part of the requests of the calm end that must be served.
SERVED_AT_END: Final = 0.9
KEY: Final = 'key-that-stays'
WORKSPACE: Final = 'forms'
EXTRA_WORKSPACE: Final = 'passing'
HOST: Final = 'forms.example'
# Services that the drafts and bookings move between, and the one that has
# roll-outs.
POOLS: Final = ('pool-0', 'pool-1', 'pool-2', 'pool-3')
DESK: Final = 'desk'
