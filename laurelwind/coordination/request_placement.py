"""Places requests among the endpoints that accept them."""

from collections.abc import Sequence, Set
from typing import Final

from attrs import frozen

from laurelwind.coordination.job_requirements import (
    build_requirements,
    build_traits,
)
from laurelwind.coordination.limits.permit_refusals import PermitRefusals
from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.zones.regions import ZoneRegions
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.evacuated_zones import EvacuatedZones
from laurelwind.state.rate_limits import get_process

_NONE: Final[Set[str]] = frozenset()


@frozen(kw_only=True)
class RequestPlacement:
    """Applies placement to the endpoints of a request's service and version.

    :ivar directory: registered endpoints.
    :ivar rollouts: selects the version for each request.
    :ivar placement: selects endpoints.
    :ivar refusals: finds endpoints with a rate limit that have no permit.
    :ivar zones: the evacuated zones.
    :ivar regions: regions of the zones.
    """

    directory: EndpointDirectory
    rollouts: RolloutRegistry
    placement: Placement
    refusals: PermitRefusals
    zones: EvacuatedZones
    regions: ZoneRegions

    def choose_untried(
        self,
        job: Job,
        current: EndpointRecord | None = None,
        *,
        avoids_backoff: bool = False,
        compared: Set[str] = _NONE,
    ) -> EndpointRecord | None:
        """Select an endpoint that the request has not left.

        :param job: the request.
        :param current: the endpoint that it is to leave, or ``None``.
        :param avoids_backoff: whether endpoints in backoff are ruled out.
        :param compared: names of endpoints that were selected before and did
            not suit.
        """
        if job.attempts >= job.route.max_attempts:
            return None
        ready = self._list_ready(job)
        excluded = job.fallback_endpoints | self.refusals.list_refusing(ready)
        excluded |= compared
        if job.avoids_cold:
            excluded |= self.refusals.list_cold(ready)
        if current is not None:
            # It may find no permit at an endpoint with a limit.
            excluded |= self.refusals.list_limited(ready) | {current.name}
        return self.placement.choose(
            ready,
            build_requirements(
                job,
                excluded=excluded,
                avoids_backoff=avoids_backoff or current is not None,
            ),
        )

    def choose_fallback(self, job: Job) -> EndpointRecord | None:
        """Select an endpoint that fell silent, or broke off its answer.

        :param job: the request.
        """
        if job.attempts - job.refusals >= job.route.max_attempts:
            return None
        ready = [
            endpoint
            for endpoint in self._list_ready(job)
            if endpoint.name in job.fallback_endpoints
        ]
        return self.placement.choose(
            ready,
            build_requirements(
                job, excluded=self.refusals.list_refusing(ready)
            ),
        )

    def choose_queued(self, job: Job) -> EndpointRecord | None:
        """Select an endpoint with a limit whose permit the request may await.

        :param job: the request.
        """
        if job.attempts >= job.route.max_attempts:
            return None
        ready = self._list_ready(job)
        excluded = self.refusals.list_without_queue(ready)
        return self.placement.choose(
            ready, build_requirements(job, excluded=excluded)
        )

    def list_limited(self, job: Job) -> Set[str]:
        """Return the names of endpoints with a rate limit that are left.

        :param job: the request.
        """
        limited = self.refusals.list_limited(self._list_ready(job))
        return limited - job.excluded_endpoints

    def is_rolling_out(self, job: Job) -> bool:
        """Return whether a version of the request's service is rolled out.

        :param job: the request.
        """
        return self.rollouts.is_rolling_out(job.service)

    def is_ready(self, job: Job, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint still accepts a request.

        :param job: the request.
        :param endpoint: the endpoint.
        """
        return any(
            get_process(other) == get_process(endpoint)
            for other in self._list_ready(job)
        )

    def is_queue_too_long(self, job: Job, endpoint: EndpointRecord) -> bool:
        """Return whether a request would start after its deadline.

        :param job: the request.
        :param endpoint: the endpoint.
        """
        return self.estimate_queue_delay(endpoint) >= job.remaining_s

    def estimate_queue_delay(self, endpoint: EndpointRecord) -> float:
        """Estimate the queueing delay at an endpoint, in seconds.

        :param endpoint: the endpoint.
        """
        return self.placement.estimate_queue_delay(endpoint)

    def estimate_wait(self, job: Job) -> float:
        """Estimate the seconds until a request would start.

        :param job: the request.
        """
        ready = self._list_ready(job)
        return self.placement.estimate_wait(
            ready,
            build_requirements(
                job, excluded=self.refusals.list_refusing(ready)
            ),
        )

    def estimate_work(self, job: Job) -> Work | None:
        """Estimate the work of a request, ``None`` without a reported pace.

        The caller's limit of the answer's length bounds the estimate; it is no
        estimate itself.

        :param job: the request.
        """
        if not self.placement.is_paced(job.service):
            return None
        return self.placement.estimate_work(job.service, build_traits(job))

    def forecast_at(
        self, job: Job, endpoint: EndpointRecord, work: Work
    ) -> Forecast | None:
        """Forecast work at an endpoint, or return ``None`` without its pace.

        :param job: the request.
        :param endpoint: the endpoint.
        :param work: work of the request, or of another one in its place.
        """
        return self.placement.forecast_at(endpoint, build_traits(job), work)

    def estimate_return(self, job: Job) -> float:
        """Return the seconds until the first endpoint accepts requests.

        :param job: the request.
        """
        return min(
            map(self._estimate_acceptance, self._list_ready(job)), default=0
        )

    def _estimate_acceptance(self, endpoint: EndpointRecord) -> float:
        return max(
            self.placement.get_remaining_pause(endpoint),
            self.refusals.estimate_wait(endpoint),
        )

    def _list_ready(self, job: Job) -> Sequence[EndpointRecord]:
        ready: Sequence[EndpointRecord] = self.directory.list_ready(job.service)
        if self.zones.names:
            ready = [
                endpoint
                for endpoint in ready
                if endpoint.zone not in self.zones.names
            ]
        return self.rollouts.filter_endpoints(
            job.service,
            job.sticky_key,
            self.regions.select_endpoints(ready, job.allowed_regions),
            allows_target=not job.avoids_target_version,
        )
