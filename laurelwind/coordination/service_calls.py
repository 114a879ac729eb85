"""Serves calls to plain HTTP services."""

import base64
import time
from typing import Final

import anyio
from attrs import evolve, frozen

from laurelwind.coordination.claims import Claim, ClaimClient
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.ledger import Ledger
from laurelwind.coordination.retries import RetryBudget, sleep_before_retry
from laurelwind.coordination.retry_limits import MAX_BROKEN_ATTEMPTS
from laurelwind.coordination.routing import EndpointRequirements, Router, Slot
from laurelwind.coordination.service_requests import (
    CallProgress,
    ServiceCallRequest,
    is_idempotent,
)
from laurelwind.coordination.suspects.calls import CallScreen
from laurelwind.errors import (
    CallerError,
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.endpoints import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)
from laurelwind.state.digests import hash_fields
from laurelwind.state.document import Service
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.records import (
    Charge,
    ChargeLine,
    OutcomeRecord,
    StepResult,
)
from laurelwind.tracing import Tracing, format_traceparent

_MAX_ATTEMPTS: Final = 3
_MAX_SAVED_BODY_BYTES: Final = 65_536


@frozen(kw_only=True)
class ServiceCallerDependencies:
    """Collaborators of a service caller."""

    follower: ConfigurationFollower
    router: Router
    client: ServiceClient
    ledger: Ledger
    claims: ClaimClient
    budget: RetryBudget
    calls: CallScreen
    tracing: Tracing


class ServiceCaller:
    """Serves calls to plain HTTP services, with retries where safe.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: ServiceCallerDependencies) -> None:
        self._dependencies = dependencies

    async def run(self, request: ServiceCallRequest) -> ServiceAnswer:
        """Serve one call.

        :param request: the service call.
        :raises LaurelwindError: when the call fails or may not be run.
        """
        self._dependencies.ledger.check_capacity()
        service = self._find_service(request)
        call = CallProgress(
            request=request,
            service=service,
            deadline_at=read_monotonic_clock() + request.deadline_s,
        )
        if not is_idempotent(service, request.method, request.path):
            return await self._run_at_most_once(call)
        answer = await self._call_with_retries(call)
        await self._charge(request, service)
        return answer

    async def _run_at_most_once(self, call: CallProgress) -> ServiceAnswer:
        """Run a non-idempotent call if its idempotency claim is granted."""
        request, service = call.request, call.service
        claim = _build_claim(request)
        outcome = await self._acquire_claim(claim, call.remaining_s)
        if outcome is not None:
            original_request = evolve(request, request_id=outcome.request_id)
            await self._charge(original_request, service)
            return _restore_answer(outcome)
        answer = await self._run_claimed(call, claim)
        async with anyio.create_task_group() as task_group:
            record = _build_outcome(claim, answer)
            task_group.start_soon(
                self._dependencies.claims.record_outcome, claim, record
            )
            await self._charge(request, service)
        return answer

    async def _acquire_claim(
        self, claim: Claim, remaining_s: float
    ) -> OutcomeRecord | None:
        span = self._dependencies.tracing.tracer.start_as_current_span('claim')
        try:
            with span, anyio.fail_after(remaining_s):
                return await self._dependencies.claims.acquire(claim)
        except TimeoutError:
            raise CapacityError(
                ErrorKind.DEADLINE_EXCEEDED,
                'deadline exceeded before the idempotency key was claimed',
                run=RunState.NOT_RUN,
            ) from None

    async def _run_claimed(
        self, call: CallProgress, claim: Claim
    ) -> ServiceAnswer:
        """Call the service; retry only if no request reached an endpoint."""
        attempt = 1
        while True:
            try:
                return await self._call_once(call)
            except LaurelwindError as error:
                _check_not_run(error)
                is_last = attempt == _MAX_ATTEMPTS or call.remaining_s <= 0
                if is_last or isinstance(error, CallerError):
                    self._dependencies.claims.release(claim)
                    raise
            await sleep_before_retry(attempt)
            attempt += 1

    def _find_service(self, request: ServiceCallRequest) -> Service:
        document = self._dependencies.follower.current.document
        workspace = document.workspaces[request.workspace]
        if request.service not in workspace.services:
            raise CallerError(
                ErrorKind.SERVICE_UNKNOWN,
                'no such service in this workspace',
            )
        return document.services[request.service]

    async def _call_with_retries(self, call: CallProgress) -> ServiceAnswer:
        self._dependencies.budget.record_request()
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._call_once(call)
            except EndpointError:
                if (
                    attempt >= _MAX_ATTEMPTS
                    or call.remaining_s <= 0
                    or call.broken_attempts >= MAX_BROKEN_ATTEMPTS
                    or not self._dependencies.budget.try_spend()
                ):
                    raise
            await sleep_before_retry(attempt)

    async def _call_once(self, call: CallProgress) -> ServiceAnswer:
        requirements = EndpointRequirements(
            pool=call.service.pool,
            failed_addresses=frozenset(call.failed_addresses),
        )
        document = self._dependencies.follower.current.document
        self._dependencies.calls.ensure_allowed(
            call.request.screened, call.service.pool, call.run_state
        )
        with self._dependencies.router.reserve(document, requirements) as slot:
            span = self._dependencies.tracing.tracer.start_as_current_span(
                'endpoint attempt', attributes={'endpoint': slot.name}
            )
            with span:
                answer = await self._send(call, slot)
            slot.load.record_success()
            return answer

    async def _send(self, call: CallProgress, slot: Slot) -> ServiceAnswer:
        address = slot.endpoint.address
        tracking = self._dependencies.calls.track(
            call.request.screened, call.service.pool, address
        )
        try:
            with tracking:
                return await self._dependencies.client.call(
                    _build_call(call, slot)
                )
        except EndpointError as error:
            slot.load.record_failure(read_monotonic_clock())
            call.record_failure(address, error)
            raise

    async def _charge(
        self, request: ServiceCallRequest, service: Service
    ) -> None:
        line = ChargeLine(
            reference=request.service,
            prompt_tokens=0,
            completion_tokens=0,
            amount=service.price,
            ended=StepResult.CALLED,
        )
        charge = Charge(
            request_id=request.request_id,
            workspace=request.workspace,
            charged_at=time.time(),
            lines=(line,),
        )
        with self._dependencies.tracing.tracer.start_as_current_span('charge'):
            await self._dependencies.ledger.charge(charge)


def _build_call(call: CallProgress, slot: Slot) -> ServiceCall:
    request = call.request
    return ServiceCall(
        address=slot.endpoint.address,
        credential=slot.endpoint.credential,
        method=request.method,
        path=request.target,
        headers=request.headers,
        body=request.body,
        request_id=request.request_id,
        timeout_s=max(call.remaining_s, 0),
        traceparent=format_traceparent(),
    )


def _check_not_run(error: LaurelwindError) -> None:
    if error.run is not RunState.NOT_RUN:
        raise CallerError(
            ErrorKind.OUTCOME_UNKNOWN,
            'the call was sent, but no answer was received',
        ) from error


def _build_claim(request: ServiceCallRequest) -> Claim:
    if not request.idempotency_key:
        raise CallerError(
            ErrorKind.IDEMPOTENCY_KEY_MISSING,
            'call is not idempotent; send an Idempotency-Key header',
        )
    key_fields = (request.workspace, request.service, request.idempotency_key)
    target = (request.method, request.path, request.query)
    return Claim(
        key=hash_fields(*(key_field.encode() for key_field in key_fields)),
        idempotency_key=request.idempotency_key,
        request_id=request.request_id,
        fingerprint=hash_fields(
            *(target_field.encode() for target_field in target), request.body
        ),
    )


def _build_outcome(claim: Claim, answer: ServiceAnswer) -> OutcomeRecord:
    is_saved = len(answer.body) <= _MAX_SAVED_BODY_BYTES
    body = base64.b64encode(answer.body).decode() if is_saved else ''
    return OutcomeRecord(
        key=claim.key,
        request_id=claim.request_id,
        status=answer.status,
        content_type=answer.headers.get('content-type', ''),
        body=body,
        kept=is_saved,
    )


def _restore_answer(outcome: OutcomeRecord) -> ServiceAnswer:
    if not outcome.kept:
        raise CallerError(
            ErrorKind.OUTCOME_UNKNOWN,
            'the call has run, but its answer was too large to save',
            run=RunState.RAN,
        )
    return ServiceAnswer(
        status=outcome.status,
        headers={
            'content-type': outcome.content_type,
            'x-repeated': 'true',
            'x-first-request-id': outcome.request_id,
        },
        body=base64.b64decode(outcome.body),
    )
