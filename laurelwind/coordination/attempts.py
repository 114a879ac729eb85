"""Fetches a complete answer from one version, with retries and resumption."""

import contextlib
import functools
from collections.abc import Callable, Mapping
from typing import Final

import orjson
from anyio.abc import TaskGroup
from attrs import evolve, frozen

from laurelwind.coordination.cascade import accepts_work, find_version
from laurelwind.coordination.chat_requests import (
    FetchState,
    track_run_state,
)
from laurelwind.coordination.engine_silence import EngineSilenceMonitor
from laurelwind.coordination.fetches import EmitEvents, Fetch
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.retries import RetryBudget, sleep_before_retry
from laurelwind.coordination.retry_limits import MAX_BROKEN_ATTEMPTS
from laurelwind.coordination.routing import EndpointRequirements, Router, Slot
from laurelwind.coordination.suspects.calls import (
    CallScreen,
    ScreenedAttempt,
    Tracking,
)
from laurelwind.errors import (
    CallerError,
    CapacityError,
    EndpointBrokenError,
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    RunState,
)
from laurelwind.metrics import Metrics
from laurelwind.protocol.endpoints import (
    NO_PART,
    AnswerProgress,
    EngineCall,
    EngineClient,
)
from laurelwind.state.document import Document, Preference, Version, Workspace
from laurelwind.state.load import read_monotonic_clock
from laurelwind.tracing import Tracing, format_traceparent

# Silence of an engine, in seconds, after which another one may take over.
PROGRESS_TIMEOUT_S: Final = 5.0
_MAX_ATTEMPTS: Final = 4
_PRIORITIES: Final[Mapping[Preference, int]] = {
    Preference.LATENCY: 0,
    Preference.CERTAINTY: 1,
}


@frozen(kw_only=True)
class FetcherDependencies:
    """Collaborators of an answer fetcher."""

    follower: ConfigurationFollower
    router: Router
    engine: EngineClient
    calls: CallScreen
    is_quarantined: Callable[[str, str], bool]
    budget: RetryBudget
    metrics: Metrics
    tracing: Tracing


class AnswerFetcher:
    """Fetches answers from engines.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: FetcherDependencies) -> None:
        self._dependencies = dependencies
        self._silence = EngineSilenceMonitor()

    def start(self, group: TaskGroup) -> None:
        """Start to review the waits for engines.

        :param group: task group of the daemon.
        """
        self._silence.start(group)

    async def fetch(
        self, fetch_state: FetchState, emit: EmitEvents
    ) -> AnswerProgress:
        """Fetch a complete answer, resuming it after interrupted attempts.

        :param fetch_state: the request and the version that answers it.
        :param emit: called with the events, in order and without gaps.
        :raises LaurelwindError: when no attempt completed the answer.
        """
        if fetch_state.is_suspect:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                'no further attempt: the connection broke in '
                f'{MAX_BROKEN_ATTEMPTS} attempts before the answer began',
            )
        with contextlib.ExitStack() as reservation:
            fetch = Fetch(
                fetch_state=fetch_state,
                emit=emit,
                reservation=reservation,
            )
            while error := await self._run_attempt(fetch):
                if fetch.reserved_slot is not None:
                    continue
                if not self._may_retry(fetch):
                    raise error
                await sleep_before_retry(fetch.attempts)
        return fetch_state.progress

    async def _run_attempt(self, fetch: Fetch) -> EndpointError | None:
        document, requirements = self._build_requirements(fetch)
        screened = fetch.fetch_state.request.screened
        calls = self._dependencies.calls
        calls.ensure_allowed(
            screened, requirements.pool, fetch.fetch_state.run_state
        )
        with fetch.reservation.pop_all() as slots:
            slot = fetch.reserved_slot or slots.enter_context(
                self._dependencies.router.reserve(document, requirements)
            )
            fetch.reserved_slot = None
            fetch.attempts += 1
            tracking = calls.track(
                screened, requirements.pool, slot.endpoint.address
            )
            error = await self._try_attempt(fetch, slot, tracking)
        outcome = 'whole' if error is None else str(error.kind)
        self._dependencies.metrics.attempts.labels(
            requirements.pool, outcome
        ).inc()
        return error

    async def _try_attempt(
        self, fetch: Fetch, slot: Slot, tracking: Tracking
    ) -> EndpointError | None:
        address = slot.endpoint.address
        try:
            with tracking as attempt:
                await self._stream_answer(fetch, slot, attempt)
        except EndpointSilentError as error:
            slot.load.record_failure(read_monotonic_clock())
            fetch.silent_addresses |= {address}
            return error
        except EndpointError as error:
            slot.load.record_failure(read_monotonic_clock())
            fetch.failed_addresses |= {address}
            has_begun = fetch.fetch_state.progress.last_part != NO_PART
            if isinstance(error, EndpointBrokenError) and not has_begun:
                fetch.fetch_state.broken_attempts += 1
            return error
        slot.load.record_success()
        return None

    async def _stream_answer(
        self, fetch: Fetch, slot: Slot, attempt: ScreenedAttempt
    ) -> None:
        fetch_state = fetch.fetch_state
        span = self._dependencies.tracing.tracer.start_as_current_span(
            'endpoint attempt',
            attributes={
                'endpoint': slot.name,
                'reference': fetch_state.reference,
                'after_part': fetch_state.progress.last_part,
            },
        )
        with span, track_run_state(fetch_state):
            call = self._build_call(fetch, slot)
            async with self._dependencies.engine.open(call) as stream:
                fetch_state.run_state = RunState.RAN
                fetch_state.progress = stream.progress
                if stream.progress.load >= 0:
                    slot.load.record_report(
                        stream.progress.load, read_monotonic_clock()
                    )
                async for events in stream.iterate_parts():
                    self._dependencies.calls.record_response(attempt)
                    await fetch.emit(events)

    def _build_requirements(
        self, fetch: Fetch
    ) -> tuple[Document, EndpointRequirements]:
        fetch_state = fetch.fetch_state
        document = self._dependencies.follower.current.document
        version = find_version(document, fetch_state.reference)
        workspace = document.workspaces.get(fetch_state.request.workspace)
        is_new_answer = fetch_state.progress.last_part == NO_PART
        if version is None or (
            is_new_answer
            and not self._is_allowed(fetch_state, version, workspace)
        ):
            raise CallerError(
                ErrorKind.VERSION_NOT_ALLOWED,
                f'version {fetch_state.reference} was withdrawn',
            )
        session = fetch_state.request.session
        affinity_key = '' if session is None else session.session_id
        requirements = EndpointRequirements(
            pool=version.pool,
            affinity_key=affinity_key,
            failed_addresses=fetch.failed_addresses,
            silent_addresses=fetch.silent_addresses,
        )
        return document, requirements

    def _build_call(self, fetch: Fetch, slot: Slot) -> EngineCall:
        fetch_state = fetch.fetch_state
        workspaces = self._dependencies.follower.current.document.workspaces
        workspace = workspaces.get(fetch_state.request.workspace)
        preference = workspace.preference if workspace else Preference.LATENCY
        body = {
            **fetch_state.request.body,
            'model': fetch_state.reference,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        return EngineCall(
            address=slot.endpoint.address,
            credential=slot.endpoint.credential,
            request_id=fetch_state.request.request_id,
            reference=fetch_state.reference,
            body=orjson.dumps(body),
            priority=_PRIORITIES[preference],
            after_part=fetch_state.progress.last_part,
            limit_wait=functools.partial(
                self._silence.limit_wait,
                PROGRESS_TIMEOUT_S,
                functools.partial(self._try_leave, fetch, slot),
            ),
            traceparent=format_traceparent(),
        )

    def _is_allowed(
        self,
        fetch_state: FetchState,
        version: Version,
        workspace: Workspace | None,
    ) -> bool:
        if workspace is None or fetch_state.reference not in workspace.versions:
            return False
        if self._dependencies.is_quarantined(
            fetch_state.reference, fetch_state.request.workspace
        ):
            return False
        return accepts_work(version)

    def _try_leave(self, fetch: Fetch, slot: Slot) -> bool:
        """Reserve a retry at another endpoint; return whether it could."""
        if fetch.attempts >= _MAX_ATTEMPTS:
            return False
        try:
            document, requirements = self._build_requirements(fetch)
            return self._try_reserve(
                fetch,
                document,
                evolve(
                    requirements,
                    excluded_addresses=fetch.failed_addresses
                    | {slot.endpoint.address},
                ),
            )
        except (CallerError, CapacityError):
            return False

    def _try_reserve(
        self,
        fetch: Fetch,
        document: Document,
        requirements: EndpointRequirements,
    ) -> bool:
        with contextlib.ExitStack() as slots:
            slot = slots.enter_context(
                self._dependencies.router.reserve(document, requirements)
            )
            if not self._dependencies.budget.try_spend():
                return False
            fetch.reserved_slot = slot
            fetch.reservation.push(slots.pop_all())
        return True

    def _may_retry(self, fetch: Fetch) -> bool:
        if fetch.fetch_state.is_suspect or fetch.attempts >= _MAX_ATTEMPTS:
            return False
        return self._dependencies.budget.try_spend()
