"""Errors of requests for which no endpoint can be selected."""

from typing import Final

from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.retries import draw_retry_after
from laurelwind.coordination.shedding.decisions import LoadDecision
from laurelwind.errors import (
    CallerError,
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
)

# Retry-After of a daemon that is stopping: callers may retry on another daemon.
STOPPING_RETRY_AFTER_S: Final = 0.05


def build_blocked_error(job: Job) -> LaurelwindError:
    """Build the error of a request that crashes endpoints.

    :param job: the request.
    """
    if job.may_have_run:
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'no further attempt: the request or a part of its prompt crashes '
            'endpoints',
        )
    return CallerError(
        ErrorKind.PROMPT_BLOCKED,
        'the request or a part of its prompt crashes endpoints; it was not run',
    )


def build_stale_error(job: Job) -> LaurelwindError:
    """Build the error of a request while the routing table is too old.

    :param job: the request.
    """
    if job.may_have_run:
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'the attempt failed and the routing table is too old for a retry',
        )
    return CapacityError(
        ErrorKind.NOT_READY,
        'the freshness lease of the routing table has expired',
        retry_after_s=draw_retry_after(),
    )


def build_stopping_error() -> CapacityError:
    """Build the error of a request that the stop of the daemon refuses."""
    return CapacityError(
        ErrorKind.STOPPING,
        'this daemon is stopping; retry on another daemon',
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )


def build_exhausted_error(
    job: Job, return_s: float, *, is_limited: bool
) -> LaurelwindError:
    """Build the error of a request for which no endpoint is left.

    :param job: the request.
    :param return_s: seconds until the first endpoint accepts requests again.
    :param is_limited: whether any endpoint has a rate limit.
    """
    if job.may_have_run:
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'no endpoint left: every endpoint tried failed',
        )
    retry_after_s = return_s + draw_retry_after()
    if is_limited:
        return CapacityError(
            ErrorKind.OVERLOADED,
            'every endpoint left for the request is at its rate limit',
            retry_after_s=retry_after_s,
        )
    return CapacityError(
        ErrorKind.NO_ENDPOINT,
        'no ready endpoint is left for the request',
        retry_after_s=retry_after_s,
    )


def build_connection_error(job: Job) -> LaurelwindError:
    """Build the error of a request that got no connection to an endpoint.

    :param job: the request.
    """
    if job.may_have_run:
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'the attempt failed and no connection is left for a retry',
        )
    return CapacityError(
        ErrorKind.NO_ENDPOINT,
        'no connection to an endpoint is left on this daemon; not run',
        retry_after_s=draw_retry_after(),
    )


def build_queue_error(delay_s: float) -> CapacityError:
    """Build the error of a request whose deadline every queue exceeds.

    :param delay_s: length of the shortest queue, in seconds.
    """
    return CapacityError(
        ErrorKind.OVERLOADED,
        f'the shortest queue takes {delay_s:.1f} s, past the deadline',
        retry_after_s=delay_s + draw_retry_after(),
    )


def build_shed_error(decision: LoadDecision) -> CapacityError:
    """Build the error of a request that is rejected because of load.

    :param decision: the decision.
    """
    return CapacityError(
        ErrorKind.OVERLOADED,
        f'the service is overloaded ({decision.reason}); not run',
        retry_after_s=decision.retry_after_s,
    )
