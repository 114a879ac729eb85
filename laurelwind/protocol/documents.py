"""Interface of the codec for documents in the platform's store."""

import abc
import enum

from laurelwind.protocol.keyed_store import Topic
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutStatus,
)
from laurelwind.state.routes import RoutingTable


class DocumentKind(enum.Enum):
    """Kind of a document in the store."""

    ROUTING_TABLE = 'routing_table'
    ROLLOUT_ORDER = 'rollout_order'
    ROLLOUT_STATUS = 'rollout_status'
    ROLLOUT_REPORT = 'rollout_report'
    ROLLOUT_SHIFT = 'rollout_shift'
    EVACUATION = 'evacuation'
    OTHER = 'other'


class DocumentCodec(abc.ABC):
    """Converts between documents of the store and the project's types.

    Decoders raise :class:`~laurelwind.errors.ConfigurationError` if a
    document is malformed.
    """

    @abc.abstractmethod
    def get_kind(self, topic: Topic, key: str) -> DocumentKind:
        """Return the kind of the document stored under a key.

        :param topic: topic of the document.
        :param key: key of the document.
        """

    @abc.abstractmethod
    def decode_table(self, body: bytes) -> RoutingTable:
        """Decode a routing table.

        :param body: the document.
        """

    @abc.abstractmethod
    def decode_endpoint(self, name: str, body: bytes) -> EndpointRecord:
        """Decode an endpoint's record.

        :param name: name of the endpoint.
        :param body: the document.
        """

    @abc.abstractmethod
    def get_zone(self, key: str) -> str:
        """Return the zone that an evacuation is about.

        :param key: key of the document.
        """

    @abc.abstractmethod
    def decode_evacuation(self, key: str, body: bytes | None) -> str:
        """Check the evacuation of a zone, or its end; return the zone.

        :param key: key of the document.
        :param body: the document, or ``None`` if it was removed.
        """

    @abc.abstractmethod
    def decode_order(self, body: bytes) -> RolloutOrder:
        """Decode an operator's roll-out order.

        :param body: the document.
        """

    @abc.abstractmethod
    def decode_status(self, key: str, body: bytes) -> tuple[str, RolloutStatus]:
        """Decode a roll-out's status; return it after the service's name.

        :param key: key of the document.
        :param body: the document.
        """

    @abc.abstractmethod
    def encode_status(
        self, service: str, status: RolloutStatus
    ) -> tuple[str, bytes]:
        """Encode a roll-out's status; return the document after its key.

        :param service: name of the service.
        :param status: the status.
        """

    @abc.abstractmethod
    def decode_report(
        self, key: str, body: bytes
    ) -> tuple[str, str, RolloutReport]:
        """Decode a daemon's roll-out report.

        :param key: key of the document.
        :param body: the document.
        :returns: names of the service and the daemon, and the report.
        """

    @abc.abstractmethod
    def encode_report(
        self, service: str, daemon: str, report: RolloutReport
    ) -> tuple[str, bytes]:
        """Encode a daemon's report; return the document after its key.

        :param service: name of the service.
        :param daemon: name of the daemon.
        :param report: the report.
        """

    @abc.abstractmethod
    def decode_shift(self, key: str, body: bytes) -> tuple[str, RolloutShift]:
        """Decode the decision to shift; return it after the service's name.

        :param key: key of the document.
        :param body: the document.
        """

    @abc.abstractmethod
    def encode_shift(
        self, service: str, shift: RolloutShift
    ) -> tuple[str, bytes]:
        """Encode the decision to shift; return the document after its key.

        :param service: name of the service.
        :param shift: the decision.
        """
