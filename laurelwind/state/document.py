"""Data classes of the configuration document.

Amounts of money are integers in micro-units (millionths) of the billing
currency, so that charges add up without rounding.
"""

import enum
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import field, frozen

SCHEMA_NUMBER: Final = 1
VERSION_SEPARATOR: Final = '@'


class VersionState(enum.StrEnum):
    """Lifecycle state of a version."""

    CANDIDATE = 'candidate'
    SERVING = 'serving'
    DRAINING = 'draining'
    WITHDRAWN = 'withdrawn'


class Preference(enum.StrEnum):
    """What a workspace favours if the rating of an answer is late.

    With ``LATENCY`` the answer is delivered without a rating; with
    ``CERTAINTY`` it is discarded, and the next version of the plan runs.
    """

    LATENCY = 'latency'
    CERTAINTY = 'certainty'


@frozen(kw_only=True)
class Price:
    """Price of a version, in micro-units per thousand tokens."""

    prompt: int
    completion: int


@frozen(kw_only=True)
class Version:
    """One version of a model.

    :ivar state: its lifecycle state.
    :ivar pool: the pool whose endpoints run it.
    :ivar price: its price per thousand tokens.
    :ivar expected_pass_rate: the operators' estimate of the share of answers
        that pass, used before there is evidence.
    """

    pool: str
    price: Price
    state: VersionState = VersionState.CANDIDATE
    expected_pass_rate: float = 0.9


@frozen(kw_only=True)
class Model:
    """A model with its versions by name."""

    versions: Mapping[str, Version]


@frozen(kw_only=True)
class Endpoint:
    """One back end of a pool.

    :ivar address: ``host:port`` with a numeric host.
    :ivar zone: its availability zone.
    :ivar leaving: whether it receives no new requests.
    :ivar credential: the name of a credential in the daemons' settings.
    """

    address: str
    zone: str
    leaving: bool = False
    credential: str = ''


@frozen(kw_only=True)
class Pool:
    """A set of interchangeable endpoints.

    :ivar endpoints: endpoints by name.
    :ivar in_flight: maximum of concurrent requests per endpoint.
    """

    endpoints: Mapping[str, Endpoint]
    in_flight: int = 64


@frozen(kw_only=True)
class Route:
    """Retry rule for calls under one path of a plain service.

    :ivar method: HTTP method, or ``*`` for all.
    :ivar path: path prefix, beginning with a slash.
    :ivar idempotent: whether a call may be sent more than once.
    """

    path: str
    method: str = '*'
    idempotent: bool = False


@frozen(kw_only=True)
class Service:
    """A plain HTTP service, as opposed to a model engine.

    :ivar pool: the pool whose endpoints run it.
    :ivar routes: retry rules, of which the first match applies; calls without
        a match are not idempotent.
    :ivar price: price of a call, in micro-units.
    """

    pool: str
    routes: Sequence[Route] = field(factory=tuple)
    price: int = 0


@frozen(kw_only=True)
class Task:
    """A kind of request with a required quality and a choice of versions.

    :ivar versions: references ``model@version``; the workspace must allow all.
    :ivar quality: required share of answers that pass, from zero to one.
    """

    versions: Sequence[str]
    quality: float = 0.9


@frozen(kw_only=True)
class Limits:
    """Resource limits of one workspace.

    :ivar in_flight: maximum of concurrent requests in the whole fleet.
    :ivar share: weight in the division of scarce capacity.
    :ivar body_bytes: maximum size of a request body, in bytes.
    :ivar deadline_s: maximum duration of a request, in seconds.
    """

    in_flight: int = 1000
    share: float = 1.0
    body_bytes: int = 1_048_576
    deadline_s: float = 120.0


@frozen(kw_only=True)
class Workspace:
    """One customer.

    :ivar key_hashes: SHA-256 hashes, in hex, of its callers' keys.
    :ivar versions: references ``model@version`` that it may use.
    :ivar services: plain services that it may call.
    :ivar tasks: its tasks by name.
    :ivar preference: what it favours if the rating of an answer is late.
    :ivar limits: its resource limits.
    """

    key_hashes: Sequence[str]
    versions: Sequence[str]
    services: Sequence[str] = field(factory=tuple)
    tasks: Mapping[str, Task] = field(factory=dict)
    preference: Preference = Preference.LATENCY
    limits: Limits = field(factory=Limits)


@frozen(kw_only=True)
class Document:
    """The complete configuration.

    :ivar schema: version number of the document schema.
    :ivar models: models by name.
    :ivar pools: pools by name.
    :ivar services: plain services by name.
    :ivar workspaces: workspaces by name.
    """

    models: Mapping[str, Model]
    pools: Mapping[str, Pool]
    workspaces: Mapping[str, Workspace]
    services: Mapping[str, Service] = field(factory=dict)
    schema: int = SCHEMA_NUMBER


@frozen(kw_only=True)
class VersionReference:
    """A model and one of its versions."""

    model: str
    version: str

    @classmethod
    def parse(cls, text: str) -> 'VersionReference':
        """Parse a reference.

        :param text: the reference as ``model@version``.
        """
        model, _, version = text.partition(VERSION_SEPARATOR)
        return cls(model=model, version=version)

    def __str__(self) -> str:
        """Return the reference as ``model@version``."""
        return f'{self.model}{VERSION_SEPARATOR}{self.version}'
