"""Folds the charges stream into the usage of each workspace."""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import define, field, frozen

from laurelwind.state.records import Charge, ChargesRecord, Entry

_MAX_CHARGED_IDS: Final = 2_000_000


@frozen(kw_only=True)
class UsageLine:
    """Usage of one version or service by one workspace.

    :ivar workspace: the workspace charged.
    :ivar reference: ``model@version`` or the name of a service.
    :ivar steps: number of steps that ran.
    :ivar prompt_tokens: number of prompt tokens.
    :ivar completion_tokens: number of generated tokens.
    :ivar amount: sum charged, in micro-units.
    """

    workspace: str
    reference: str
    steps: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    amount: int = 0


@frozen(kw_only=True)
class Usage:
    """Usage of all workspaces over a range of the charges stream.

    :ivar lines: usage lines, sorted by workspace and reference.
    :ivar requests: number of requests charged, by workspace.
    :ivar repeats: number of charges dropped as duplicates.
    :ivar since: first offset of the range.
    :ivar read_to: offset of the last record applied, or -1.
    """

    lines: Sequence[UsageLine]
    requests: Mapping[str, int]
    repeats: int
    since: int
    read_to: int


@define(kw_only=True)
class UsageTable:
    """Usage of all workspaces, folded from the charges stream.

    :ivar repeats: number of charges dropped because their request had been
        charged before.
    :ivar since: offset of the first record that could be read.
    :ivar read_to: offset of the last record applied, or -1.
    """

    repeats: int = 0
    since: int = 0
    read_to: int = -1
    _lines: dict[tuple[str, str], UsageLine] = field(factory=dict)
    _requests: dict[str, int] = field(factory=dict)
    _charged_ids: OrderedDict[str, None] = field(factory=OrderedDict)

    def record_gap(self, earliest: int) -> None:
        """Record that entries before an offset have expired unread.

        :param earliest: the first offset that can still be read.
        """
        if earliest > self.read_to + 1:
            self.since = earliest
            self.read_to = earliest - 1

    def apply(self, entry: Entry) -> None:
        """Apply the next entry.

        :param entry: the entry; one already applied is ignored.
        """
        if entry.offset <= self.read_to:
            return
        self.read_to = entry.offset
        if isinstance(entry.record, ChargesRecord):
            for charge in entry.record.charges:
                self._apply_charge(charge)

    def build(self) -> Usage:
        """Return the usage up to the last entry applied."""
        return Usage(
            lines=tuple(self._lines[key] for key in sorted(self._lines)),
            requests=dict(sorted(self._requests.items())),
            repeats=self.repeats,
            since=self.since,
            read_to=self.read_to,
        )

    def _apply_charge(self, charge: Charge) -> None:
        if charge.request_id in self._charged_ids:
            self.repeats += 1
            return
        self._charged_ids[charge.request_id] = None
        if len(self._charged_ids) > _MAX_CHARGED_IDS:
            self._charged_ids.popitem(last=False)
        count = self._requests.get(charge.workspace, 0)
        self._requests[charge.workspace] = count + 1
        for line in charge.lines:
            key = (charge.workspace, line.reference)
            total = self._lines.get(key) or UsageLine(
                workspace=charge.workspace, reference=line.reference
            )
            self._lines[key] = UsageLine(
                workspace=total.workspace,
                reference=total.reference,
                steps=total.steps + 1,
                prompt_tokens=total.prompt_tokens + line.prompt_tokens,
                completion_tokens=(
                    total.completion_tokens + line.completion_tokens
                ),
                amount=total.amount + line.amount,
            )
