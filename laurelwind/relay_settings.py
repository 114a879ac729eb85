"""The settings of a relay daemon, from one TOML file."""

from collections.abc import Iterator
from pathlib import Path

from attrs import field, frozen

from laurelwind.errors import Fault
from laurelwind.settings import (
    EXPECTED_ADDRESS,
    EXPECTED_POSITIVE,
    check_settings,
    read_settings_file,
)
from laurelwind.state.validation import is_address


@frozen(kw_only=True)
class RelayIdentity:
    """Who and where a daemon is.

    :ivar name: unique in the fleet.
    :ivar zone: its availability zone.
    :ivar region: its region.
    """

    name: str
    zone: str
    region: str = ''


@frozen(kw_only=True)
class ListenSettings:
    """Where a daemon listens, each ``host:port``.

    :ivar callers: for callers.
    :ivar readiness: for the question whether it is ready.
    :ivar entries: for the question which daemons to use.
    :ivar metrics: for metrics.
    :ivar peers: for other daemons: hints by datagram, topics over HTTP.
    """

    callers: str
    readiness: str
    entries: str
    metrics: str
    peers: str


@frozen(kw_only=True)
class BoundSettings:
    """What operators ask of the fleet, in seconds and shares.

    :ivar revocation_s: a key that was taken away is dead after this.
    :ivar apply_s: a new table is in force everywhere after this.
    :ivar stop_s: a daemon is killed this long after it was told to stop.
    :ivar entries_life_s: longest time that callers keep an answer.
    :ivar retry_share: repeats for each request in a window.
    :ivar retry_extra: further repeats of the whole fleet in a window.
    :ivar retry_window_s: length of the window.
    :ivar exposure_share: part of a service's requests that a bad version may
        get.
    """

    revocation_s: float = 5.0
    apply_s: float = 2.0
    stop_s: float = 8.0
    entries_life_s: float = 5.0
    retry_share: float = 0.1
    retry_extra: float = 20.0
    retry_window_s: float = 10.0
    exposure_share: float = 0.1


@frozen(kw_only=True)
class RelaySettings:
    """Everything that a relay daemon is told before it starts.

    :ivar store: ``host:port`` of the store.
    """

    daemon: RelayIdentity
    listen: ListenSettings
    store: str
    bounds: BoundSettings = field(factory=BoundSettings)


def load_relay_settings(path: Path) -> RelaySettings:
    """Load and check a settings file.

    :param path: where the TOML file is.
    :raises ConfigurationError: naming every bad field with its path.
    """
    return check_settings(read_settings_file(path), RelaySettings, _find_faults)


def _find_faults(settings: RelaySettings) -> Iterator[Fault]:
    addresses = {
        'listen.callers': settings.listen.callers,
        'listen.readiness': settings.listen.readiness,
        'listen.entries': settings.listen.entries,
        'listen.metrics': settings.listen.metrics,
        'listen.peers': settings.listen.peers,
        'store': settings.store,
    }
    for path, address in addresses.items():
        if not is_address(address):
            yield Fault(path=path, expected=EXPECTED_ADDRESS)
    bounds = settings.bounds
    amounts = {
        'bounds.revocation_s': bounds.revocation_s,
        'bounds.apply_s': bounds.apply_s,
        'bounds.stop_s': bounds.stop_s,
        'bounds.entries_life_s': bounds.entries_life_s,
        'bounds.retry_window_s': bounds.retry_window_s,
    }
    for path, amount in amounts.items():
        if amount <= 0:
            yield Fault(path=path, expected=EXPECTED_POSITIVE)
