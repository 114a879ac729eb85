"""The records that daemons append to the log's streams."""

import enum
from collections.abc import Mapping, Sequence
from typing import Any, Final, TypeAlias

import orjson
from attrs import frozen

from laurelwind.state.conversion import LENIENT

CONFIGURATION_STREAM: Final = 'configuration'
CHARGES_STREAM: Final = 'charges'

_TYPE_FIELD: Final = 'type'


class StepResult(enum.StrEnum):
    """Outcome of one step of a request."""

    DELIVERED = 'delivered'
    ESCALATED = 'escalated'
    CANCELLED = 'cancelled'
    CALLED = 'called'


@frozen(kw_only=True)
class PublishRecord:
    """A configuration proposed by an operator.

    :ivar publish_id: identifies the proposal in the stream, also if the outcome
        of its append is unknown.
    :ivar base: offset of the accepted document that it replaces, or -1 for the
        first one.
    :ivar author: the operator's name.
    :ivar published_at: seconds since the epoch.
    :ivar document: the complete document as plain JSON types.
    """

    publish_id: str
    base: int
    author: str
    published_at: float
    document: Mapping[str, Any]


@frozen(kw_only=True)
class QuarantineRecord:
    """Start or end of the quarantine of a version.

    :ivar record_id: identifies the decision.
    :ivar reference: ``model@version``.
    :ivar workspace: the workspace concerned, or an empty string for all.
    :ivar author: the daemon or operator that decided.
    :ivar decided_at: seconds since the epoch.
    :ivar is_lifted: whether the record ends the quarantine.
    """

    record_id: str
    reference: str
    workspace: str
    author: str
    decided_at: float
    is_lifted: bool = False


@frozen(kw_only=True)
class SnapshotRecord:
    """Copy of the accepted document, appended before its record expires.

    :ivar accepted: offset at which the document was accepted.
    :ivar decided: offset up to which every record has been decided.
    :ivar author: the operator who published the document.
    :ivar document: the complete document as plain JSON types.
    :ivar quarantines: quarantines in force.
    """

    accepted: int
    decided: int
    author: str
    document: Mapping[str, Any]
    quarantines: Sequence[QuarantineRecord] = ()


@frozen(kw_only=True)
class ChargeLine:
    """Charge for one step of a request.

    :ivar reference: ``model@version``, or the name of a plain service.
    :ivar prompt_tokens: number of prompt tokens.
    :ivar completion_tokens: number of generated tokens.
    :ivar amount: price of the step, in micro-units.
    :ivar ended: outcome of the step.
    """

    reference: str
    prompt_tokens: int
    completion_tokens: int
    amount: int
    ended: StepResult


@frozen(kw_only=True)
class Charge:
    """Charge for one request.

    :ivar request_id: identifies the request; a repeated charge counts once.
    :ivar workspace: the workspace charged.
    :ivar charged_at: seconds since the epoch.
    :ivar lines: the steps that ran.
    """

    request_id: str
    workspace: str
    charged_at: float
    lines: Sequence[ChargeLine]

    @property
    def amount(self) -> int:
        """Sum of the lines, in micro-units."""
        return sum(line.amount for line in self.lines)


@frozen(kw_only=True)
class ChargesRecord:
    """A batch of charges, appended as one record.

    :ivar batch_id: identifies the batch in the stream, also if the outcome of
        its append is unknown.
    :ivar charges: the charges.
    """

    batch_id: str
    charges: Sequence[Charge]


@frozen(kw_only=True)
class EpochRecord:
    """Start of an owner's epoch; the offset of the record is the epoch.

    :ivar record_id: identifies the record in the stream, also if the outcome
        of its append is unknown.
    :ivar owner: name of the daemon that takes over the partition.
    :ivar started_at: seconds since the epoch.
    """

    record_id: str
    owner: str
    started_at: float = 0


@frozen(kw_only=True)
class ClaimRecord:
    """The right of one request to run a non-idempotent call.

    :ivar epoch: offset of the owner's epoch record.
    :ivar key: hash of workspace, service and idempotency key.
    :ivar request_id: the request that may run.
    :ivar fingerprint: hash of the call, to detect a key reused for another.
    :ivar claimed_at: seconds since the epoch.
    """

    epoch: int
    key: str
    request_id: str
    fingerprint: str
    claimed_at: float


@frozen(kw_only=True)
class OutcomeRecord:
    """Answer to a claimed call.

    :ivar key: key of the claim.
    :ivar request_id: the request that ran.
    :ivar status: HTTP status code.
    :ivar content_type: media type of the body.
    :ivar body: body of the answer in base64, or empty if too large to save.
    :ivar kept: whether the body was saved.
    """

    key: str
    request_id: str
    status: int
    content_type: str
    body: str
    kept: bool = True


@frozen(kw_only=True)
class ReleaseRecord:
    """Release of a claim whose request definitely has not run.

    :ivar key: key of the claim.
    :ivar request_id: the request that held it.
    :ivar released_at: seconds since the epoch.
    """

    key: str
    request_id: str
    released_at: float = 0


@frozen(kw_only=True)
class HeldClaim:
    """A valid claim.

    :ivar key: hash of workspace, service and idempotency key.
    :ivar request_id: the request that may run.
    :ivar fingerprint: hash of the call, to detect a key reused for another.
    :ivar claimed_at: seconds since the epoch.
    :ivar outcome: answer to the call, or ``None`` until it is recorded.
    """

    key: str
    request_id: str
    fingerprint: str
    claimed_at: float
    outcome: OutcomeRecord | None = None


@frozen(kw_only=True)
class CheckpointRecord:
    """A page of valid claims, appended before their own records expire.

    :ivar epoch: offset of the owner's epoch record.
    :ivar page: number of this page, from zero.
    :ivar pages: number of pages in the checkpoint.
    :ivar claims: the claims of this page.
    """

    epoch: int
    page: int
    pages: int
    claims: Sequence[HeldClaim]


@frozen(kw_only=True)
class UnknownRecord:
    """A record that readers skip: of unknown type, or not readable.

    :ivar name: type of the record, or ``unreadable``.
    """

    name: str


Record: TypeAlias = (
    PublishRecord
    | SnapshotRecord
    | QuarantineRecord
    | ChargesRecord
    | EpochRecord
    | ClaimRecord
    | OutcomeRecord
    | ReleaseRecord
    | CheckpointRecord
    | UnknownRecord
)

_CLASS_BY_TYPE: Final[Mapping[str, type[Record]]] = {
    'publish': PublishRecord,
    'snapshot': SnapshotRecord,
    'quarantine': QuarantineRecord,
    'charges': ChargesRecord,
    'epoch': EpochRecord,
    'claim': ClaimRecord,
    'outcome': OutcomeRecord,
    'release': ReleaseRecord,
    'checkpoint': CheckpointRecord,
}
_TYPE_BY_CLASS: Final[Mapping[type[Record], str]] = {
    record_class: name for name, record_class in _CLASS_BY_TYPE.items()
}


@frozen(kw_only=True)
class Entry:
    """A record with its offset in the stream.

    :ivar offset: offset of the record.
    :ivar record: the record.
    """

    offset: int
    record: Record


def dump_record(record: Record) -> bytes:
    """Encode a record for the log.

    :param record: the record to encode.
    """
    fields = LENIENT.unstructure(record)
    return orjson.dumps({_TYPE_FIELD: _TYPE_BY_CLASS[type(record)], **fields})


def load_record(raw: bytes) -> Record:
    """Decode a record from the log.

    :param raw: the encoded record.
    :returns: the record, or an :class:`UnknownRecord` if it cannot be decoded.
    """
    try:
        fields = orjson.loads(raw)
        name = str(fields.pop(_TYPE_FIELD))
    except (ValueError, AttributeError, LookupError):
        return UnknownRecord(name='unreadable')
    record_class = _CLASS_BY_TYPE.get(name)
    if record_class is None:
        return UnknownRecord(name=name)
    try:
        return LENIENT.structure(fields, record_class)
    except Exception:
        return UnknownRecord(name=name)
