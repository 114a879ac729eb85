"""Checks that an endpoint goes on with a stream that another one began."""

from collections.abc import Sequence

from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.errors import EndpointError, ErrorKind, RunState
from laurelwind.protocol.event_stream import Event, EventSplitter
from laurelwind.protocol.exchanges import AnswerHead


def check_continuation(head: AnswerHead) -> None:
    """Check that the body of an answer may follow the events of another one.

    :param head: head of the answer.
    :raises EndpointError: if it is a failure, or no event stream.
    """
    if not head.is_success:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint did not go on with the stream: status {head.status}',
            run=RunState.RAN,
        )
    if head.media_type and not head.is_stream:
        raise EndpointError(
            ErrorKind.ANSWER_BROKEN,
            'the endpoint did not go on with the stream: content type '
            f'{head.media_type}',
            run=RunState.RAN,
        )


class EventReader:
    """Splits a stream into events, and checks where it goes on.

    :param last_event_id: id of the caller's last event, or an empty string.
    :param is_continuation: whether the events follow those of another endpoint.
    :ivar resume_id: id after which the stream resumes behind the events read so
        far, or an empty string if their last one has none: resuming would
        repeat it.
    """

    def __init__(self, *, last_event_id: str, is_continuation: bool) -> None:
        self.resume_id = last_event_id
        self._splitter = EventSplitter()
        self._awaits_continuation = is_continuation

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the bytes read so far end within an event."""
        return self._splitter.has_incomplete_event

    def feed(self, chunk: bytes) -> Sequence[Event]:
        """Append bytes, and return the events that they complete.

        :param chunk: bytes of the stream, cut at any place.
        :raises EndpointError: if the first event does not follow the caller's
            last one, or an event is too long.
        """
        events = self._splitter.feed(chunk)
        for event in events:
            if event.has_content:
                self._check_start(event)
                self.resume_id = event.event_id
        return events

    def _check_start(self, event: Event) -> None:
        if self._awaits_continuation and not _is_behind(
            event.event_id, self.resume_id
        ):
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                'the endpoint did not go on with the stream: event '
                f"'{event.event_id}' instead of one behind '{self.resume_id}'",
                run=RunState.RAN,
            )
        self._awaits_continuation = False


def has_all_events(job: Job, attempt: Attempt, head: AnswerHead) -> bool:
    """Return whether a stream that ended has the events of a complete one.

    Behind the last event there may be none left, but without a frame that is no
    different from a crash.

    :param job: the request.
    :param attempt: the attempt whose answer ended.
    :param head: head of that answer.
    """
    if attempt.events:
        return True
    return head.is_framed and bool(job.last_event_id)


def _is_behind(event_id: str, last_event_id: str) -> bool:
    if event_id.isdecimal() and last_event_id.isdecimal():
        return int(event_id) > int(last_event_id)
    return bool(event_id) and event_id != last_event_id
