"""Decides whether a request may run once more.

Every way to a second attempt passes this check: after a failure, a refusal or
an answer of low confidence, to leave a silent endpoint, to return to it, and
before anything is sent.
"""

from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.retry_limits import RetryObstacle
from laurelwind.errors import EndpointError, ErrorKind


def find_run_obstacle(job: Job) -> RetryObstacle | None:
    """Return why a request may not run once more, or ``None``.

    An attempt counts as a run until a refusal has proved that it was none, so
    that the one in progress counts as well.

    :param job: the request.
    """
    if job.may_have_run and not job.route.is_repeatable:
        return RetryObstacle.NOT_REPEATABLE
    if job.has_begun and not job.events:
        return RetryObstacle.ANSWER_BEGUN
    # A caller's own Last-Event-Id does not tell what its answer holds.
    if job.events and not job.last_event_id:
        return RetryObstacle.NO_EVENT_ID
    return None


def ensure_may_run(job: Job) -> None:
    """Raise an error if a request may not run once more.

    :param job: the request.
    :raises EndpointError: if an earlier attempt may have run and the request
        may run only once, or its answer cannot be resumed.
    """
    obstacle = find_run_obstacle(job)
    if obstacle is not None:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'no further attempt ({obstacle}): the last one may have run',
        )
