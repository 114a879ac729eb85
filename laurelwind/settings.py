"""Settings of a daemon, read from a TOML file."""

import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Final

from attrs import field, frozen

from laurelwind.errors import ConfigurationError, ErrorKind, Fault
from laurelwind.state.conversion import TargetType, structure_strictly
from laurelwind.state.validation import is_address, is_hash

_MIN_SECRET_LENGTH: Final = 16
EXPECTED_ADDRESS: Final = 'expected an IP address and a port'
EXPECTED_POSITIVE: Final = 'expected a number above zero'
EXPECTED_NOT_NEGATIVE: Final = 'expected zero or more'
# Port zero, for which the system chooses a free port.
ANY_PORT_SUFFIX: Final = ':0'


@frozen(kw_only=True)
class DaemonSettings:
    """Name, location and listen addresses of a daemon.

    :ivar name: name, unique in the fleet.
    :ivar zone: availability zone.
    :ivar region: region, or an empty string.
    :ivar caller_address: ``host:port`` that serves callers.
    :ivar admin_address: ``host:port`` of the administration API and metrics.
    :ivar peer_address: ``host:port`` that serves other daemons.
    """

    name: str
    zone: str
    caller_address: str
    admin_address: str
    peer_address: str
    region: str = ''


@frozen(kw_only=True)
class PlatformSettings:
    """Addresses of the platform's services, each ``host:port``."""

    log: str
    instances: str
    ratings: str


@frozen(kw_only=True)
class PeerKey:
    """A key that signs messages between daemons.

    :ivar key_id: identifier of the key, sent with each message.
    :ivar secret: shared secret.
    """

    key_id: str
    secret: str = field(repr=False)


@frozen(kw_only=True)
class KeySettings:
    """Signing keys and key hashes.

    The last key of a list signs; the older ones still verify, so that keys
    can be rotated.

    :ivar sessions: secrets that sign session tokens, oldest first.
    :ivar peers: keys that sign messages between daemons, oldest first.
    :ivar operators: SHA-256 hash of each operator's key, by operator name.
    """

    sessions: Sequence[str] = field(repr=False)
    peers: Sequence[PeerKey]
    operators: Mapping[str, str]


@frozen(kw_only=True)
class LimitSettings:
    """Limits of a daemon.

    :ivar append_interval_s: minimum seconds between appends to a stream.
    :ivar stop_timeout_s: maximum seconds of a graceful stop.
    :ivar header_timeout_s: maximum seconds to receive the headers of a
        request.
    """

    append_interval_s: float = 0.02
    stop_timeout_s: float = 600.0
    header_timeout_s: float = 10.0


@frozen(kw_only=True)
class TlsSettings:
    """Paths of the PEM files for TLS with callers and operators.

    :ivar certificate: certificate chain, or an empty string for plain HTTP.
    :ivar private_key: private key of the certificate.
    """

    certificate: str = ''
    private_key: str = ''


@frozen(kw_only=True)
class TracingSettings:
    """Storage and export of spans.

    :ivar otlp_url: URL of an OTLP collector, or an empty string for none.
    :ivar capacity: maximum number of traces in memory.
    """

    otlp_url: str = ''
    capacity: int = 2000


@frozen(kw_only=True)
class Settings:
    """Settings of a daemon."""

    daemon: DaemonSettings
    platform: PlatformSettings
    keys: KeySettings
    credentials: Mapping[str, str] = field(factory=dict, repr=False)
    limits: LimitSettings = field(factory=LimitSettings)
    tls: TlsSettings = field(factory=TlsSettings)
    tracing: TracingSettings = field(factory=TracingSettings)


def load_settings(path: Path) -> Settings:
    """Load and validate a settings file.

    :param path: path of the TOML file.
    :raises ConfigurationError: with a fault for each invalid field.
    """
    return parse_settings(read_settings_file(path))


def parse_settings(text: str) -> Settings:
    """Parse and validate the text of a settings file.

    :param text: the settings in TOML.
    :raises ConfigurationError: with a fault for each invalid field.
    """
    return check_settings(text, Settings, _find_faults)


def read_settings_file(path: Path) -> str:
    """Read a settings file.

    :param path: path of the file.
    :raises ConfigurationError: if the file cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'{path} cannot be read: {error.strerror}',
        ) from None
    except UnicodeDecodeError as error:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'{path} is not UTF-8: {error.reason} at byte {error.start}',
        ) from None


def check_settings(
    text: str,
    shape: type[TargetType],
    find_faults: Callable[[TargetType], Iterable[Fault]],
) -> TargetType:
    """Parse settings into an attrs class and validate them.

    :param text: the settings in TOML.
    :param shape: attrs class of the settings.
    :param find_faults: yields a fault for each value that is out of range.
    :raises ConfigurationError: with a fault for each invalid field.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'the settings are not TOML: {error}',
        ) from None
    settings = structure_strictly(tables, shape)
    faults = tuple(find_faults(settings))
    if faults:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'{len(faults)} settings are invalid',
            faults=faults,
        )
    return settings


def check_listen_addresses(addresses: Mapping[str, str]) -> Iterator[Fault]:
    """Yield a fault for each listen address that another setting uses too.

    :param addresses: listen addresses by the path of their setting.
    """
    paths: dict[str, str] = {}
    for path, address in addresses.items():
        if address.endswith(ANY_PORT_SUFFIX):
            continue
        first_path = paths.setdefault(address, path)
        if first_path != path:
            yield Fault(
                path=path,
                expected=f'expected another address than {first_path}',
            )


def _find_faults(settings: Settings) -> Iterator[Fault]:
    yield from _check_addresses(settings)
    yield from _check_keys(settings.keys)
    yield from _check_ranges(settings)
    tls = settings.tls
    if bool(tls.certificate) != bool(tls.private_key):
        yield Fault(
            path='tls',
            expected='expected both a certificate and a key',
        )


def _check_addresses(settings: Settings) -> Iterator[Fault]:
    daemon = settings.daemon
    platform = settings.platform
    listen_addresses = {
        'daemon.caller_address': daemon.caller_address,
        'daemon.admin_address': daemon.admin_address,
        'daemon.peer_address': daemon.peer_address,
    }
    platform_addresses = {
        'platform.log': platform.log,
        'platform.instances': platform.instances,
        'platform.ratings': platform.ratings,
    }
    for path, address in {**listen_addresses, **platform_addresses}.items():
        if not is_address(address):
            yield Fault(path=path, expected=EXPECTED_ADDRESS)
    yield from check_listen_addresses(listen_addresses)
    for path, text in {
        'daemon.name': daemon.name,
        'daemon.zone': daemon.zone,
    }.items():
        if not text:
            yield Fault(path=path, expected='expected a name')


def _check_keys(keys: KeySettings) -> Iterator[Fault]:
    expected = f'expected {_MIN_SECRET_LENGTH} characters or more'
    if not keys.sessions:
        yield Fault(
            path='keys.sessions', expected='expected at least one secret'
        )
    if not keys.peers:
        yield Fault(path='keys.peers', expected='expected at least one key')
    for index, secret in enumerate(keys.sessions):
        if len(secret) < _MIN_SECRET_LENGTH:
            yield Fault(path=f'keys.sessions.{index}', expected=expected)
    for index, key in enumerate(keys.peers):
        if len(key.secret) < _MIN_SECRET_LENGTH:
            yield Fault(path=f'keys.peers.{index}.secret', expected=expected)
    for name, key_hash in keys.operators.items():
        if not is_hash(key_hash):
            yield Fault(
                path=f'keys.operators.{name}',
                expected='expected a SHA-256 hash of 64 hex digits',
            )


def _check_ranges(settings: Settings) -> Iterator[Fault]:
    limits = settings.limits
    numbers = {
        'limits.append_interval_s': limits.append_interval_s,
        'limits.stop_timeout_s': limits.stop_timeout_s,
        'limits.header_timeout_s': limits.header_timeout_s,
        'tracing.capacity': settings.tracing.capacity,
    }
    for path, number in numbers.items():
        if number <= 0:
            yield Fault(path=path, expected=EXPECTED_POSITIVE)
