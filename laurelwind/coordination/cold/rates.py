"""Rates at which a cold endpoint gets requests."""

from typing import Final

from attrs import frozen

from laurelwind.state.routes import Service

# Least share of ``cold_per_s`` for permits where the bound leaves room for it.
MIN_PERMIT_SHARE: Final = 0.25


@frozen(kw_only=True)
class ColdBounds:
    """Bound on the requests that reach a cold endpoint in any second.

    It is ``cold_per_s * overage + tolerance`` of all daemons together.

    :ivar overage: factor of the rate that the endpoint states.
    :ivar tolerance: requests on top of it.
    """

    overage: float
    tolerance: float


@frozen(kw_only=True)
class ColdRates:
    """Rates for the cold endpoints of a service.

    :ivar cold_start_s: length of the cold time, in seconds.
    :ivar permits_per_s: permits that the holder grants per second.
    :ivar shared_per_s: requests per second of all daemons without a holder.
    """

    cold_start_s: float
    permits_per_s: float
    shared_per_s: float


def compute_rates(
    service: Service | None, bounds: ColdBounds | None
) -> ColdRates | None:
    """Compute the rates for a service, or ``None`` if it is never cold.

    A schedule of rate ``r`` lets up to ``2 r + 1`` requests arrive in a second:
    a burst of half a second, and permits that are valid for as long. Daemons
    that have lost the holder send up to ``shared_per_s`` beside it. Both
    together stay within the bound.

    :param service: the service, or ``None`` if it is unknown.
    :param bounds: the bound, or ``None`` if the settings have none.
    """
    if service is None or bounds is None:
        return None
    if service.cold_start_s <= 0 or service.cold_per_s <= 0:
        return None
    limit = service.cold_per_s * bounds.overage + bounds.tolerance
    shared = min(service.cold_per_s, limit / 2)
    room = max(limit - shared - 1, 0) / 2
    preferred = max(
        (service.cold_per_s - 1) / 2, service.cold_per_s * MIN_PERMIT_SHARE
    )
    return ColdRates(
        cold_start_s=service.cold_start_s,
        permits_per_s=min(preferred, room),
        shared_per_s=shared,
    )
