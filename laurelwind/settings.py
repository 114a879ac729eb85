"""The settings of one daemon, from one TOML file."""

import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Final

from attrs import field, frozen

from laurelwind.errors import ConfigurationError, ErrorKind, Fault
from laurelwind.state.conversion import Shape, structure_strictly
from laurelwind.state.validation import is_address, is_hash

_SECRET_LENGTH: Final = 16
EXPECTED_ADDRESS: Final = 'expected an IP number and a port'
EXPECTED_POSITIVE: Final = 'expected a number above zero'


@frozen(kw_only=True)
class DaemonSettings:
    """Who and where a daemon is.

    :ivar name: unique in the fleet.
    :ivar zone: its availability zone.
    :ivar region: its region.
    :ivar caller_address: ``host:port`` for callers.
    :ivar admin_address: ``host:port`` for operators and metrics.
    :ivar peer_address: ``host:port`` for peers.
    """

    name: str
    zone: str
    caller_address: str
    admin_address: str
    peer_address: str
    region: str = ''


@frozen(kw_only=True)
class PlatformSettings:
    """Where the platform's services are, each ``host:port``."""

    log: str
    instances: str
    ratings: str


@frozen(kw_only=True)
class PeerKey:
    """A key that daemons sign messages to each other with.

    :ivar key_id: names the key.
    :ivar secret: the key.
    """

    key_id: str
    secret: str = field(repr=False)


@frozen(kw_only=True)
class KeySettings:
    """Keys; of those that rotate, the last one signs.

    :ivar sessions: secrets that sign session tokens, oldest first.
    :ivar peers: keys between daemons, oldest first.
    :ivar operators: SHA-256 hashes of operators' keys by operator.
    """

    sessions: Sequence[str] = field(repr=False)
    peers: Sequence[PeerKey]
    operators: Mapping[str, str]


@frozen(kw_only=True)
class LimitSettings:
    """What one daemon allows itself.

    :ivar append_interval_s: shortest time between two appends to a stream.
    :ivar stop_timeout_s: longest time that a graceful stop takes.
    :ivar header_timeout_s: longest time for a request's headers.
    """

    append_interval_s: float = 0.02
    stop_timeout_s: float = 600.0
    header_timeout_s: float = 10.0


@frozen(kw_only=True)
class TlsSettings:
    """Certificates for callers and operators, paths of PEM files.

    :ivar certificate: the certificate's chain, or empty for plain HTTP.
    :ivar private_key: its key.
    """

    certificate: str = ''
    private_key: str = ''


@frozen(kw_only=True)
class TracingSettings:
    """Where spans go.

    :ivar otlp_url: where to export them besides, or empty.
    :ivar capacity: traces kept in memory.
    """

    otlp_url: str = ''
    capacity: int = 2000


@frozen(kw_only=True)
class Settings:
    """Everything that a daemon is told before it starts."""

    daemon: DaemonSettings
    platform: PlatformSettings
    keys: KeySettings
    credentials: Mapping[str, str] = field(factory=dict, repr=False)
    limits: LimitSettings = field(factory=LimitSettings)
    tls: TlsSettings = field(factory=TlsSettings)
    tracing: TracingSettings = field(factory=TracingSettings)


def load_settings(path: Path) -> Settings:
    """Load and check a settings file.

    :param path: where the TOML file is.
    :raises ConfigurationError: naming every bad field with its path.
    """
    return parse_settings(read_settings_file(path))


def parse_settings(text: str) -> Settings:
    """Parse and check the text of a settings file.

    :param text: TOML.
    :raises ConfigurationError: naming every bad field with its path.
    """
    return check_settings(text, Settings, _find_faults)


def read_settings_file(path: Path) -> str:
    """Read a settings file.

    :param path: where it is.
    :raises ConfigurationError: when it cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'{path} cannot be read: {error.strerror}',
        ) from None


def check_settings(
    text: str,
    shape: type[Shape],
    find_faults: Callable[[Shape], Iterable[Fault]],
) -> Shape:
    """Parse settings of any shape, and check them.

    :param text: TOML.
    :param shape: the attrs class wanted.
    :param find_faults: finds what is wrong with the amounts.
    :raises ConfigurationError: naming every bad field with its path.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'not TOML: {error}',
        ) from None
    settings = structure_strictly(tables, shape)
    faults = tuple(find_faults(settings))
    if faults:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'{len(faults)} fields are wrong',
            faults=faults,
        )
    return settings


def _find_faults(settings: Settings) -> Iterator[Fault]:
    yield from _check_addresses(settings)
    yield from _check_keys(settings.keys)
    yield from _check_amounts(settings)
    tls = settings.tls
    if bool(tls.certificate) != bool(tls.private_key):
        yield Fault(
            path='tls',
            expected='expected both a certificate and a key',
        )


def _check_addresses(settings: Settings) -> Iterator[Fault]:
    daemon = settings.daemon
    platform = settings.platform
    addresses = {
        'daemon.caller_address': daemon.caller_address,
        'daemon.admin_address': daemon.admin_address,
        'daemon.peer_address': daemon.peer_address,
        'platform.log': platform.log,
        'platform.instances': platform.instances,
        'platform.ratings': platform.ratings,
    }
    for path, address in addresses.items():
        if not is_address(address):
            yield Fault(path=path, expected=EXPECTED_ADDRESS)
    for path, text in {
        'daemon.name': daemon.name,
        'daemon.zone': daemon.zone,
    }.items():
        if not text:
            yield Fault(path=path, expected='expected a name')


def _check_keys(keys: KeySettings) -> Iterator[Fault]:
    expected = f'expected {_SECRET_LENGTH} characters or more'
    if not keys.sessions:
        yield Fault(path='keys.sessions', expected='expected one or more')
    if not keys.peers:
        yield Fault(path='keys.peers', expected='expected one or more')
    for index, secret in enumerate(keys.sessions):
        if len(secret) < _SECRET_LENGTH:
            yield Fault(path=f'keys.sessions.{index}', expected=expected)
    for index, key in enumerate(keys.peers):
        if len(key.secret) < _SECRET_LENGTH:
            yield Fault(path=f'keys.peers.{index}.secret', expected=expected)
    for name, key_hash in keys.operators.items():
        if not is_hash(key_hash):
            yield Fault(
                path=f'keys.operators.{name}',
                expected='expected a SHA-256 hash of 64 hex digits',
            )


def _check_amounts(settings: Settings) -> Iterator[Fault]:
    limits = settings.limits
    amounts = {
        'limits.append_interval_s': limits.append_interval_s,
        'limits.stop_timeout_s': limits.stop_timeout_s,
        'limits.header_timeout_s': limits.header_timeout_s,
        'tracing.capacity': settings.tracing.capacity,
    }
    for path, amount in amounts.items():
        if amount <= 0:
            yield Fault(path=path, expected=EXPECTED_POSITIVE)
