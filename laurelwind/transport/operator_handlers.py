"""The operator interface to the configuration and to version states."""

import hmac
from collections.abc import Mapping, Sequence
from typing import Any, Final
from urllib.parse import parse_qs

from attrs import frozen

from laurelwind.coordination.follower import (
    ConfigurationFollower,
    Publication,
)
from laurelwind.coordination.quarantine import Quarantine
from laurelwind.errors import CallerError, ErrorKind
from laurelwind.state.configuration import Decision, hash_key
from laurelwind.state.document import Version, VersionState
from laurelwind.state.edits import set_version_state
from laurelwind.state.evidence import EvidenceTable
from laurelwind.transport.application import Resource
from laurelwind.transport.caller_exchange import CallerExchange

_MAX_DOCUMENT_BYTES: Final = 8_388_608
_MAX_STATE_BODY_BYTES: Final = 4096


class OperatorAuthenticator:
    """Authenticates operators by key.

    :param key_hashes: hashes of the keys by name of the operator.
    """

    def __init__(self, *, key_hashes: Mapping[str, str]) -> None:
        self._key_hashes = dict(key_hashes)

    def authenticate(self, exchange: CallerExchange) -> str:
        """Authenticate the operator of a request and return the name.

        :param exchange: the request.
        :raises CallerError: when the key is missing or unknown.
        """
        request_hash = hash_key(exchange.read_api_key())
        for name, key_hash in self._key_hashes.items():
            if hmac.compare_digest(request_hash, key_hash):
                return name
        raise CallerError(ErrorKind.KEY_UNKNOWN, 'unknown key')


@frozen(kw_only=True)
class VersionView:
    """A version with its state, ratings and quarantine.

    :ivar reference: ``model@version``.
    :ivar state: state in the life cycle.
    :ivar pool: name of the pool that runs it.
    :ivar passed: number of answers rated good across the fleet, in the current
        view of this daemon.
    :ivar failed: number of answers rated bad, in the same view.
    :ivar quarantined: whether it is withheld from every workspace.
    """

    reference: str
    state: VersionState
    pool: str
    passed: int
    failed: int
    quarantined: bool


@frozen(kw_only=True)
class VersionsView:
    """Every version of every model.

    :ivar versions: the versions.
    """

    versions: Sequence[VersionView]


@frozen(kw_only=True)
class ConfigurationView:
    """The configuration in force.

    :ivar offset: offset at which it was accepted; the base of the next
        proposal.
    :ivar author: name of the operator that published it.
    :ivar document: the whole document.
    """

    offset: int
    author: str
    document: Mapping[str, Any]


@frozen(kw_only=True)
class HistoryView:
    """The latest configuration proposals and their outcomes.

    :ivar decisions: the decisions, oldest first.
    """

    decisions: Sequence[Decision]


class OperatorHandlers:
    """Handlers of the configuration and version resources for operators.

    :param authenticator: authenticates operators.
    :param follower: provides and publishes the configuration.
    :param evidence: ratings of the versions.
    :param quarantine: versions withheld from callers.
    """

    def __init__(
        self,
        *,
        authenticator: OperatorAuthenticator,
        follower: ConfigurationFollower,
        evidence: EvidenceTable,
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._authenticator = authenticator
        self._follower = follower
        self._evidence = evidence

    def list_resources(self) -> Sequence[Resource]:
        """List the resources of these handlers."""
        return (
            Resource(
                path='/admin/v1/configuration',
                methods={
                    'GET': self.show_configuration,
                    'POST': self.publish_configuration,
                },
                answers={'GET': ConfigurationView, 'POST': Publication},
                query_names=('base',),
            ),
            Resource(
                path='/admin/v1/configuration/history',
                methods={'GET': self.show_history},
                answers={'GET': HistoryView},
            ),
            Resource(
                path='/admin/v1/versions',
                methods={'GET': self.list_versions},
                answers={'GET': VersionsView},
            ),
            Resource(
                path='/admin/v1/versions/{reference}/state',
                methods={'PUT': self.change_version},
                answers={'PUT': Publication},
            ),
        )

    async def show_configuration(self, exchange: CallerExchange) -> None:
        """Show the configuration in force and its offset.

        :param exchange: the operator's request.
        """
        self._authenticator.authenticate(exchange)
        current = self._follower.current
        await exchange.send_json(
            ConfigurationView(
                offset=current.offset,
                author=current.author,
                document=current.raw,
            )
        )

    async def publish_configuration(self, exchange: CallerExchange) -> None:
        """Publish a configuration based on the offset given in the query.

        :param exchange: the operator's request.
        """
        author = self._authenticator.authenticate(exchange)
        base = _parse_base(exchange.query)
        document = await exchange.read_json(_MAX_DOCUMENT_BYTES)
        publication = await self._follower.publish(
            document=document, base=base, author=author
        )
        await exchange.send_json(publication)

    async def show_history(self, exchange: CallerExchange) -> None:
        """Show the latest configuration proposals and their outcomes.

        :param exchange: the operator's request.
        """
        self._authenticator.authenticate(exchange)
        decisions = await self._follower.read_history()
        await exchange.send_json(HistoryView(decisions=decisions))

    async def list_versions(self, exchange: CallerExchange) -> None:
        """List every version with its state, ratings and quarantine.

        :param exchange: the operator's request.
        """
        self._authenticator.authenticate(exchange)
        document = self._follower.current.document
        versions = tuple(
            self._build_version_view(f'{model_name}@{name}', version)
            for model_name, model in document.models.items()
            for name, version in model.versions.items()
        )
        await exchange.send_json(VersionsView(versions=versions))

    async def change_version(self, exchange: CallerExchange) -> None:
        """Change the state of one version in the configuration in force.

        :param exchange: the operator's request.
        """
        author = self._authenticator.authenticate(exchange)
        body = await exchange.read_json(_MAX_STATE_BODY_BYTES)
        state = _parse_state(body.get('state'))
        reference = exchange.path_params['reference']
        current = self._follower.current
        publication = await self._follower.publish(
            document=set_version_state(current.raw, reference, state),
            base=current.offset,
            author=author,
        )
        if state is VersionState.SERVING:
            await self._quarantine.reinstate(reference, author)
        await exchange.send_json(publication)

    def _build_version_view(
        self, reference: str, version: Version
    ) -> VersionView:
        counts = self._evidence.sum_reference(reference)
        return VersionView(
            reference=reference,
            state=version.state,
            pool=version.pool,
            passed=counts.passed,
            failed=counts.failed,
            quarantined=self._quarantine.is_quarantined(reference, ''),
        )


def _parse_state(name: object) -> VersionState:
    for state in VersionState:
        if state == name:
            return state
    raise CallerError(
        ErrorKind.BODY_MALFORMED,
        'state must be candidate, serving, draining or withdrawn',
    )


def _parse_base(query: str) -> int:
    bases = parse_qs(query).get('base', [''])
    try:
        return int(bases[0])
    except ValueError:
        raise CallerError(
            ErrorKind.HEADER_INVALID,
            'the query must give the base offset, as in ?base=7',
        ) from None
