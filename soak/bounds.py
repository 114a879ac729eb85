"""Settings and time bounds of the deployment under soak, in seconds."""

from typing import Final

REVOCATION_S: Final = 5.0
APPLY_S: Final = 2.0
DRAIN_S: Final = 2.0
STOP_S: Final = 8.0
RECOVERY_S: Final = 12.0
EVACUATE_S: Final = 5.0
# Cold endpoints: requests per second that they take, and for how long, and the
# bound on what reaches one in a second. It is below what the callers of a soak
# send to an endpoint that nothing protects: 11 in a second were measured.
COLD_PER_S: Final = 2.0
COLD_START_S: Final = 3.0
COLD_OVERAGE: Final = 1.5
COLD_TOLERANCE: Final = 3.0
# Guarantees of a daemon are not checked until this long after its last fault.
SETTLE_S: Final = 3.0
# Time after which stalled persistent connections to an endpoint are detected.
ENDPOINT_SETTLE_S: Final = 12.0
# A daemon that has applied a routing table may not use an older one after this.
ROLLBACK_S: Final = 0.25
# A request needs an answer, whether it was forwarded or not, if its connection
# ends later than this after the daemon could read it.
ANSWER_REQUIRED_AFTER_S: Final = 0.2
# A request may cross bytes that the endpoint sends unasked if it reaches the
# endpoint sooner than this after the request before it.
CROSSING_S: Final = 0.2
TIMEOUT_S: Final = 3.0
# Final answers are due this long after a route's deadline.
ANSWER_GRACE_S: Final = 0.5
EXPOSURE_SHARE: Final = 0.15
EXPOSURE_EXTRA: Final = 30
ROLLOUT_S: Final = 12.0
MAX_ATTEMPTS: Final = 3
# Rate of a connection of a caller with a narrow link, in each direction.
NARROW_BYTES_PER_S: Final = 400_000
EVENT_PAUSE_S: Final = 0.04
# Share of the requests after recovery that must be served.
MIN_SERVED_SHARE: Final = 0.9
PERMANENT_KEY: Final = 'key-that-stays'
WORKSPACE: Final = 'forms'
EXTRA_WORKSPACE: Final = 'passing'
HOST: Final = 'forms.example'
# Services between which the routes `draft` and `book` alternate, and the
# service of the route `look`, which has a roll-out.
POOLS: Final = ('pool-0', 'pool-1', 'pool-2', 'pool-3')
ROLLOUT_SERVICE: Final = 'desk'
# Part of a prompt that crashes endpoints, and the most requests with it that
# may reach endpoints once this many have crashed and SETTLE_S has passed.
DEADLY_PART: Final = 'deadly'
MIN_CRASHES: Final = 5
MAX_LATE_CRASHES: Final = 3
# Crashes after which a request that comes again is to be known, and the most of
# its arrivals at endpoints once SETTLE_S has passed since.
MIN_REPEATED_CRASHES: Final = 3
MAX_LATE_REPEATS: Final = 3
# Seconds after which a daemon heeds a pause that an endpoint asks for, and the
# most requests that may reach the endpoint from it afterwards.
PAUSE_HEEDED_S: Final = 0.5
MAX_LATE_IN_PAUSE: Final = 2
# Memory of the smallest instance, in MB of 2**20 bytes.
MEMORY_MB: Final = 128
# Rate limits of endpoints: seconds after its first statement from which a limit
# is checked, and after which a daemon that got one keeps it; and the window in
# which it may be exceeded, by a factor and a number of requests.
LIMIT_CHECKED_AFTER_S: Final = 3.0
LIMIT_HEEDED_S: Final = 0.5
LIMIT_WINDOW_S: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_EXTRA: Final = 5
