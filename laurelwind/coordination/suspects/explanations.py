"""Finds whether a request that crashes endpoints explains a broken answer."""

from collections.abc import Iterator

from laurelwind.coordination.suspects.keys import build_endpoint_key
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.state.crash_reports import (
    CrashReport,
    SuspectKeys,
    select_requests,
)
from laurelwind.state.directory import EndpointDirectory, EndpointRecord


class CrashExplanations:
    """Explains the crashes of endpoints by what was on board.

    :param screen: learns what crashes endpoints.
    :param directory: registered endpoints, for their versions.
    """

    def __init__(
        self, *, screen: SuspectScreen, directory: EndpointDirectory
    ) -> None:
        self._screen = screen
        self._directory = directory

    def is_explained(
        self,
        endpoint: EndpointRecord,
        broke_at: float,
        is_on_trial: bool,
    ) -> bool:
        """Return whether suspects explain that an answer broke off.

        An endpoint that crashes by itself leaves requests as suspects that are
        sent again and break off with the next endpoint of the same version.
        Crashes of a version on trial are therefore explained only by what
        crashed an endpoint of another version as well.

        :param endpoint: the endpoint that broke off the answer.
        :param broke_at: moment of that, on the monotonic clock.
        :param is_on_trial: whether the version of the endpoint is on trial.
        """
        on_board = self._list_on_board(build_endpoint_key(endpoint), broke_at)
        if not on_board:
            return False
        if not is_on_trial:
            return any(self._iterate_known(on_board))
        return any(
            self._has_crashed_other(keys, endpoint.version)
            for keys in (
                *self._iterate_known(on_board),
                *self._iterate_requests(on_board),
            )
        )

    def _list_on_board(
        self, endpoint: str, broke_at: float
    ) -> list[CrashReport]:
        evidence = self._screen.evidence
        lifetime = evidence.breaks.find_lifetime(endpoint, broke_at)
        if lifetime is None:
            return []
        return [
            report
            for report in evidence.reports
            if report.endpoint == endpoint
            and lifetime
            == evidence.breaks.find_lifetime(endpoint, report.broke_at)
        ]

    def _iterate_known(
        self, on_board: list[CrashReport]
    ) -> Iterator[SuspectKeys]:
        """Iterate over the suspects on board that are or were blocked."""
        blocked = self._screen.blocked
        for keys in (*blocked.groups, *blocked.former):
            if any(keys <= report.keys for report in on_board):
                yield keys

    def _iterate_requests(
        self, on_board: list[CrashReport]
    ) -> Iterator[SuspectKeys]:
        """Iterate over the requests on board that were not answered since."""
        for report in on_board:
            suspects = self._screen.evidence.list_suspects(report)
            for key in select_requests(suspects):
                yield frozenset((key,))

    def _has_crashed_other(self, keys: SuspectKeys, version: str) -> bool:
        """Return whether suspects crashed an endpoint of another version."""
        evidence = self._screen.evidence
        for report in evidence.reports:
            if not keys <= report.keys:
                continue
            _, _, name = report.endpoint.partition('/')
            record = self._directory.find(name)
            is_other = record is not None and record.version != version
            if is_other and evidence.breaks.find_lifetime(
                report.endpoint, report.broke_at
            ):
                return True
        return False
