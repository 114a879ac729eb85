"""Settings of a relay daemon, read from a TOML file."""

import math
from collections.abc import Iterator
from pathlib import Path

from attrs import field, frozen

from laurelwind.errors import Fault
from laurelwind.settings import (
    ANY_PORT_SUFFIX,
    EXPECTED_ADDRESS,
    EXPECTED_NOT_NEGATIVE,
    EXPECTED_POSITIVE,
    check_listen_addresses,
    check_settings,
    read_settings_file,
)
from laurelwind.state.validation import is_address


@frozen(kw_only=True)
class RelayIdentity:
    """Name and location of a daemon.

    :ivar name: name, unique in the fleet.
    :ivar zone: availability zone.
    :ivar region: region, or an empty string.
    """

    name: str
    zone: str
    region: str = ''


@frozen(kw_only=True)
class ListenSettings:
    """Listen addresses of a daemon, each ``host:port``.

    :ivar callers: serves callers.
    :ivar readiness: serves the readiness probe.
    :ivar entries: serves the list of daemons that callers may use.
    :ivar metrics: serves Prometheus metrics.
    :ivar peers: serves other daemons: load hints over UDP, topics over HTTP.
    """

    callers: str
    readiness: str
    entries: str
    metrics: str
    peers: str


@frozen(kw_only=True)
class BoundSettings:
    """Service-level bounds of the fleet.

    :ivar revocation_s: seconds after which a revoked key is refused by every
        daemon.
    :ivar apply_s: seconds after which a new routing table is in force on
        every daemon.
    :ivar drain_s: seconds after which an endpoint that leaves gets no more
        requests.
    :ivar stop_s: seconds between the stop signal and the kill of a daemon.
    :ivar entries_life_s: seconds for which callers may cache the list of
        entries.
    :ivar retry_share: retry budget as a share of the requests in a window.
    :ivar retry_extra: retries of the whole fleet in a window on top of that
        share.
    :ivar retry_window_s: length of the window in seconds.
    :ivar exposure_share: largest share of a service's requests that a bad
        version may receive during a roll-out.
    :ivar contact_s: seconds after which a daemon that is gone is no member;
        without it or at zero, members that only a restored store lists are
        named to callers at once.
    :ivar evacuate_s: seconds after which the endpoints of an evacuated zone get
        no more requests; without it or at zero, evacuations are ignored.
    :ivar cold_overage: factor of the rate at which cold endpoints take requests
        that the fleet may reach in a second; without it or at zero, endpoints
        are never cold.
    :ivar cold_tolerance: requests of a second on top of that.
    """

    revocation_s: float = 5.0
    apply_s: float = 2.0
    drain_s: float = 2.0
    stop_s: float = 8.0
    entries_life_s: float = 5.0
    retry_share: float = 0.1
    retry_extra: float = 20.0
    retry_window_s: float = 10.0
    exposure_share: float = 0.1
    contact_s: float | None = None
    evacuate_s: float | None = None
    cold_overage: float | None = None
    cold_tolerance: float | None = None


@frozen(kw_only=True)
class InstanceLimits:
    """Limits of the machine that a daemon runs on.

    :ivar memory_mb: its memory in MB; zero for what the system grants the
        process, or 128 MB if that has no limit.
    :ivar max_fds: most file descriptors; zero for the process's own limit.
    """

    memory_mb: float = 0
    max_fds: int = 0


@frozen(kw_only=True)
class LoadSettings:
    """What is decided by the pace that endpoints report.

    :ivar uses_pace: whether the pace counts at all: for forecasts, load
        decisions, time-outs and the memory of endpoints.
    :ivar places_by_forecast: whether endpoints that report it are selected by
        the predicted finish of a request.
    :ivar separates_classes: whether those keep requests that slow the steps of
        their batch apart from others.
    """

    uses_pace: bool = False
    places_by_forecast: bool = False
    separates_classes: bool = False


@frozen(kw_only=True)
class AdmissionSettings:
    """How requests are admitted.

    :ivar start_wait_s: seconds after the start of a daemon in which requests
        wait until it is ready, each for half a second at most; zero to refuse
        them at once.
    """

    start_wait_s: float = 0


@frozen(kw_only=True)
class RelaySettings:
    """Settings of a relay daemon.

    :ivar daemon: name and location.
    :ivar listen: listen addresses.
    :ivar store: ``host:port`` of the store.
    :ivar bounds: service-level bounds of the fleet.
    :ivar regions: region of each availability zone.
    :ivar limits: limits of the machine.
    :ivar load: what is decided by the pace that endpoints report.
    :ivar admission: how requests are admitted.
    """

    daemon: RelayIdentity
    listen: ListenSettings
    store: str
    bounds: BoundSettings = field(factory=BoundSettings)
    regions: dict[str, str] = field(factory=dict)
    limits: InstanceLimits = field(factory=InstanceLimits)
    load: LoadSettings = field(factory=LoadSettings)
    admission: AdmissionSettings = field(factory=AdmissionSettings)


def load_relay_settings(path: Path) -> RelaySettings:
    """Load and validate a settings file.

    :param path: path of the TOML file.
    :raises ConfigurationError: with a fault for each invalid field.
    """
    return check_settings(read_settings_file(path), RelaySettings, _find_faults)


def _find_faults(settings: RelaySettings) -> Iterator[Fault]:
    yield from _check_addresses(settings)
    bounds = settings.bounds
    positive = {
        'bounds.revocation_s': bounds.revocation_s,
        'bounds.apply_s': bounds.apply_s,
        'bounds.drain_s': bounds.drain_s,
        'bounds.stop_s': bounds.stop_s,
        'bounds.entries_life_s': bounds.entries_life_s,
        'bounds.retry_window_s': bounds.retry_window_s,
    }
    for path, number in positive.items():
        if not 0 < number < math.inf:
            yield Fault(path=path, expected=EXPECTED_POSITIVE)
    shares = {
        'bounds.retry_share': bounds.retry_share,
        'bounds.retry_extra': bounds.retry_extra,
        'bounds.exposure_share': bounds.exposure_share,
        'bounds.contact_s': bounds.contact_s or 0,
        'bounds.evacuate_s': bounds.evacuate_s or 0,
        'bounds.cold_overage': bounds.cold_overage or 0,
        'bounds.cold_tolerance': bounds.cold_tolerance or 0,
        'limits.memory_mb': settings.limits.memory_mb,
        'limits.max_fds': settings.limits.max_fds,
        'admission.start_wait_s': settings.admission.start_wait_s,
    }
    for path, number in shares.items():
        if not 0 <= number < math.inf:
            yield Fault(path=path, expected=EXPECTED_NOT_NEGATIVE)


def _check_addresses(settings: RelaySettings) -> Iterator[Fault]:
    listen = settings.listen
    listen_addresses = {
        'listen.callers': listen.callers,
        'listen.readiness': listen.readiness,
        'listen.entries': listen.entries,
        'listen.metrics': listen.metrics,
        'listen.peers': listen.peers,
    }
    for path, address in {**listen_addresses, 'store': settings.store}.items():
        # Other processes are told these ports, so zero cannot stand for any.
        if not is_address(address) or address.endswith(ANY_PORT_SUFFIX):
            yield Fault(path=path, expected=EXPECTED_ADDRESS)
    yield from check_listen_addresses(listen_addresses)
