"""The messages that daemons exchange.

Each request has one answer.  Unknown fields are ignored and unknown messages
are answered with :class:`Refusal`, so that daemons of different releases can
run together.
"""

import enum
from collections.abc import Mapping, Sequence
from typing import Any, Final, TypeAlias

from attrs import field, frozen

from laurelwind.protocol.datagrams import DatagramMessage
from laurelwind.state.evidence import Subject
from laurelwind.state.members import Member
from laurelwind.state.records import ChargesRecord, OutcomeRecord


@frozen(kw_only=True)
class Probe:
    """Request that checks whether a member is alive, and gossips updates.

    :ivar sender: the sender's own state.
    :ivar news: recently changed states of other members.
    """

    sender: Member
    news: Sequence[Member] = field(factory=tuple)


@frozen(kw_only=True)
class ProbeAnswer:
    """Answer to a :class:`Probe`, which gossips updates as well.

    :ivar sender: the answering member's own state.
    :ivar news: recently changed states of other members.
    """

    sender: Member
    news: Sequence[Member] = field(factory=tuple)


@frozen(kw_only=True)
class RelayProbe:
    """Request to probe another member on the sender's behalf.

    :ivar target: the member to probe.
    """

    target: Member


@frozen(kw_only=True)
class RelayAnswer:
    """Answer to a :class:`RelayProbe`.

    :ivar reached: whether the target answered the probe.
    """

    reached: bool


@frozen(kw_only=True)
class ConfigurationAsk:
    """Request for a newer configuration.

    :ivar newer_than: offset of the configuration in force at the sender, or
        -1 if it has none.
    """

    newer_than: int


@frozen(kw_only=True)
class ConfigurationNotice:
    """Notification that a newer configuration is available.

    :ivar offset: offset of the configuration.
    :ivar sender: the member that provides it.
    """

    offset: int
    sender: Member


@frozen(kw_only=True)
class ConfigurationAnswer:
    """Answer to a :class:`ConfigurationAsk`.

    :ivar offset: offset of the configuration, or -1 if none is newer.
    :ivar author: who published it.
    :ivar document: the complete document.
    """

    offset: int = -1
    author: str = ''
    document: Mapping[str, Any] = field(factory=dict)


class ClaimVerdict(enum.StrEnum):
    """Decision of a partition's owner on a claim."""

    GRANTED = 'granted'
    HELD = 'held'
    DONE = 'done'
    REUSED = 'reused'
    EXPIRED = 'expired'
    NOT_OWNER = 'not_owner'
    SUPERSEDED = 'superseded'
    UNAVAILABLE = 'unavailable'


@frozen(kw_only=True)
class ClaimAsk:
    """Request to a partition's owner for the right to run a call.

    :ivar partition: number of the partition.
    :ivar key: hash of workspace, service and idempotency key.
    :ivar idempotency_key: the caller's key, from which its age is read.
    :ivar request_id: the request that makes the claim.
    :ivar fingerprint: hash of the call; detects a key that is reused for
        another call.
    """

    partition: int
    key: str
    idempotency_key: str
    request_id: str
    fingerprint: str


@frozen(kw_only=True)
class ClaimAnswer:
    """Answer to a :class:`ClaimAsk`.

    :ivar verdict: the owner's decision.
    :ivar claimed_at: when the existing claim was made, in seconds since the
        epoch, or zero.
    :ivar outcome: the recorded outcome of the call, or ``None``.
    :ivar owner: the member to send the claim to instead, or ``None``.
    """

    verdict: ClaimVerdict
    claimed_at: float = 0
    outcome: OutcomeRecord | None = None
    owner: Member | None = None


@frozen(kw_only=True)
class OutcomeReport:
    """Report of a claimed call's outcome to the partition's owner.

    :ivar partition: number of the partition.
    :ivar outcome: outcome of the call.
    """

    partition: int
    outcome: OutcomeRecord


@frozen(kw_only=True)
class ReleaseReport:
    """Report that releases a claim whose request certainly has not run.

    :ivar partition: number of the partition.
    :ivar key: key of the claim.
    :ivar request_id: the request that made the claim.
    """

    partition: int
    key: str
    request_id: str


@frozen(kw_only=True)
class ChargesPut:
    """Request to a collector to append charges to the log.

    :ivar batch: the charges.
    """

    batch: ChargesRecord


@frozen(kw_only=True)
class ChargesKeep:
    """Request to a peer to store a copy of charges while the log is down.

    :ivar batch: the charges.
    :ivar origin: the daemon that appends them to the log; the peer does so if
        that daemon fails.
    """

    batch: ChargesRecord
    origin: str


@frozen(kw_only=True)
class ChargesForget:
    """Notification that charges are in the log, so copies can be dropped.

    :ivar batch_ids: identifiers of the batches.
    """

    batch_ids: Sequence[str]


@frozen(kw_only=True)
class EvidenceCounts:
    """Counts of the ratings that one daemon received for one subject.

    :ivar subject: what was rated.
    :ivar source: name of the daemon.
    :ivar passed: number of answers that passed.
    :ivar failed: number of answers that failed.
    """

    subject: Subject
    source: str
    passed: int
    failed: int


@frozen(kw_only=True)
class EvidencePush:
    """Gossip of recently changed evidence counts.

    :ivar entries: the counts.
    """

    entries: Sequence[EvidenceCounts]


@frozen(kw_only=True)
class QuarantineNotice:
    """Notification that a version is quarantined.

    :ivar id: identifier of the decision, as in its record.
    :ivar reference: ``model@version``.
    :ivar workspace: workspace for which the version is quarantined, or an
        empty string for all workspaces.
    """

    id: str
    reference: str
    workspace: str


@frozen(kw_only=True)
class Done:
    """Answer that confirms a request.

    :ivar is_safe: for charges and claim records, whether they are stored
        safely.
    """

    is_safe: bool = True


@frozen(kw_only=True)
class Refusal:
    """Answer that rejects a request.

    :ivar reason: one sentence for operators.
    """

    reason: str


Message: TypeAlias = (
    Probe
    | ProbeAnswer
    | RelayProbe
    | RelayAnswer
    | ConfigurationAsk
    | ConfigurationNotice
    | ConfigurationAnswer
    | ClaimAsk
    | ClaimAnswer
    | OutcomeReport
    | ReleaseReport
    | ChargesPut
    | ChargesKeep
    | ChargesForget
    | EvidencePush
    | QuarantineNotice
    | DatagramMessage
    | Done
    | Refusal
)

MESSAGE_TYPES: Final[Mapping[str, type[Message]]] = {
    message_type.__name__: message_type
    for message_type in (
        Probe,
        ProbeAnswer,
        RelayProbe,
        RelayAnswer,
        ConfigurationAsk,
        ConfigurationNotice,
        ConfigurationAnswer,
        ClaimAsk,
        ClaimAnswer,
        OutcomeReport,
        ReleaseReport,
        ChargesPut,
        ChargesKeep,
        ChargesForget,
        EvidencePush,
        QuarantineNotice,
        DatagramMessage,
        Done,
        Refusal,
    )
}
