"""Requests claims from partition owners and reports outcomes to them."""

import random
from typing import Final

import anyio
import xxhash
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.claim_refusals import build_refusal
from laurelwind.coordination.membership import Membership
from laurelwind.coordination.partition_owners import (
    PARTITIONS,
    PartitionOwners,
    choose_owner,
)
from laurelwind.coordination.roster import Roster
from laurelwind.errors import (
    LaurelwindError,
    PeerError,
)
from laurelwind.protocol.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimVerdict,
    Done,
    Message,
    OutcomeReport,
    ReleaseReport,
)
from laurelwind.protocol.peer_network import PeerNetwork
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.members import Member
from laurelwind.state.records import OutcomeRecord

_CLAIM_TIMEOUT_S: Final = 1.0
_DECISION_TIMEOUT_S: Final = 5.0
_CLAIM_RETRY_INTERVAL_S: Final = 0.05
_REPORT_RETRY_INTERVAL_S: Final = 0.5
_REPORT_TIMEOUT_S: Final = 3.0
_CLOSE_POLL_S: Final = 0.02
_REPORT_EXPIRY_S: Final = 7200.0
_MAX_PENDING_REPORTS: Final = 20_000


@frozen(kw_only=True)
class Claim:
    """Claim on the idempotency key of a non-idempotent call.

    :ivar key: hash of workspace, service and idempotency key.
    :ivar idempotency_key: key sent by the caller.
    :ivar request_id: request that acquires the claim.
    :ivar fingerprint: hash of the call, to detect reuse of the key.
    """

    key: str
    idempotency_key: str
    request_id: str
    fingerprint: str

    @property
    def partition(self) -> int:
        """Number of the partition that the key belongs to."""
        return xxhash.xxh64_intdigest(self.key.encode()) % PARTITIONS


class ClaimClient:
    """Acquires claims, and reports outcomes and releases until acknowledged.

    :param roster: this daemon's view of the members.
    :param membership: probes members, which also spreads updates.
    :param peers: client for requests to other daemons.
    :param owners: owners of the partitions handled by this daemon.
    """

    def __init__(
        self,
        *,
        roster: Roster,
        membership: Membership,
        peers: PeerNetwork,
        owners: PartitionOwners,
    ) -> None:
        self._roster = roster
        self._membership = membership
        self._peers = peers
        self._owners = owners
        self._task_group: TaskGroup | None = None
        self._pending_reports = 0

    def start(self, group: TaskGroup) -> None:
        """Enable background reports.

        :param group: task group that runs them.
        """
        self._task_group = group

    @property
    def pending_reports(self) -> int:
        """Number of outcomes and releases not yet recorded in the log."""
        return self._pending_reports

    async def acquire(self, claim: Claim) -> OutcomeRecord | None:
        """Acquire a claim, or return the recorded outcome of the call.

        :param claim: claim to acquire.
        :returns: ``None`` if this request may run, once.
        :raises LaurelwindError: if the request may not run.
        """
        try:
            answer = await self._request_until_decided(claim)
        except BaseException:
            self.release(claim)
            raise
        if answer.verdict is ClaimVerdict.GRANTED:
            return None
        if answer.verdict is ClaimVerdict.DONE:
            return answer.outcome
        if answer.verdict is ClaimVerdict.UNAVAILABLE:
            self.release(claim)
        raise build_refusal(answer)

    def release(self, claim: Claim) -> None:
        """Release a claim whose request has certainly not run.

        :param claim: claim to release.
        """
        self._report_in_background(
            ReleaseReport(
                partition=claim.partition,
                key=claim.key,
                request_id=claim.request_id,
            )
        )

    async def record_outcome(
        self, claim: Claim, outcome: OutcomeRecord
    ) -> None:
        """Record the outcome of a claimed call.

        Waits for a bounded time; if the log has not accepted the outcome by
        then, or the request is cancelled, retries in the background.

        :param claim: claim of the call.
        :param outcome: answer of the call.
        """
        report = OutcomeReport(partition=claim.partition, outcome=outcome)
        is_recorded = False
        try:
            is_recorded = await self._send_report(report)
        finally:
            if not is_recorded:
                self._report_in_background(report)

    async def close(self) -> None:
        """Wait for reports in the background, for a bounded time."""
        with anyio.move_on_after(_REPORT_TIMEOUT_S):
            while self._pending_reports:
                await anyio.sleep(_CLOSE_POLL_S)

    async def _request_until_decided(self, claim: Claim) -> ClaimAnswer:
        request = ClaimAsk(
            partition=claim.partition,
            key=claim.key,
            idempotency_key=claim.idempotency_key,
            request_id=claim.request_id,
            fingerprint=claim.fingerprint,
        )
        deadline = read_monotonic_clock() + _DECISION_TIMEOUT_S
        while read_monotonic_clock() < deadline:
            answer = await self._request_from_owner(request)
            if answer is not None:
                return answer
            await anyio.sleep(
                random.uniform(
                    _CLAIM_RETRY_INTERVAL_S, 2 * _CLAIM_RETRY_INTERVAL_S
                )
            )
        return ClaimAnswer(verdict=ClaimVerdict.UNAVAILABLE)

    async def _request_from_owner(
        self, request: ClaimAsk
    ) -> ClaimAnswer | None:
        owner = choose_owner(self._roster, request.partition)
        if owner is None:
            return None
        try:
            answer = await self._send(owner, request, _CLAIM_TIMEOUT_S)
        except PeerError:
            await self._suspect_owner(owner, request.partition)
            return None
        if not isinstance(answer, ClaimAnswer):
            return None
        if answer.verdict is ClaimVerdict.SUPERSEDED:
            return None
        if answer.verdict is ClaimVerdict.NOT_OWNER:
            if answer.owner is not None:
                self._roster.merge_member(answer.owner)
            await self._membership.probe(owner)
            return None
        return answer

    async def _suspect_owner(
        self, unresponsive: Member, partition: int
    ) -> None:
        """Suspect an unresponsive owner and notify its successor."""
        self._roster.suspect(unresponsive.name)
        successor = choose_owner(self._roster, partition)
        if successor is None or successor.name == self._roster.name:
            return
        await self._membership.probe(successor)

    async def _send(
        self, owner: Member, message: Message, timeout_s: float
    ) -> Message:
        if owner.name != self._roster.name:
            return await self._peers.send_request(
                owner.peer_address, message, timeout_s
            )
        if isinstance(message, ClaimAsk):
            return await self._owners.handle_claim(message)
        if isinstance(message, OutcomeReport):
            return await self._owners.handle_outcome(message)
        return await self._owners.handle_release(message)

    async def _send_report(self, report: OutcomeReport | ReleaseReport) -> bool:
        owner = choose_owner(self._roster, report.partition)
        if owner is None:
            return False
        with anyio.move_on_after(_REPORT_TIMEOUT_S):
            try:
                answer = await self._send(owner, report, _REPORT_TIMEOUT_S)
            except LaurelwindError:
                return False
            return isinstance(answer, Done) and answer.is_safe
        return False

    def _report_in_background(
        self, report: OutcomeReport | ReleaseReport
    ) -> None:
        if (
            self._task_group is None
            or self._pending_reports >= _MAX_PENDING_REPORTS
        ):
            return
        self._pending_reports += 1
        self._task_group.start_soon(self._report_until_acknowledged, report)

    async def _report_until_acknowledged(
        self, report: OutcomeReport | ReleaseReport
    ) -> None:
        deadline = read_monotonic_clock() + _REPORT_EXPIRY_S
        try:
            while read_monotonic_clock() < deadline:
                if await self._send_report(report):
                    return
                await anyio.sleep(_REPORT_RETRY_INTERVAL_S)
        finally:
            self._pending_reports -= 1
