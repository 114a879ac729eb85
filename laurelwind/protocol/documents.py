"""Interface of what decodes and encodes the store's documents."""

import abc
import enum

from laurelwind.protocol.keyed import Topic
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rollouts import RolloutOrder, RolloutReport, RolloutStatus
from laurelwind.state.routes import RoutingTable


class DocumentKind(enum.Enum):
    """What a document is about."""

    ROUTING_TABLE = 'routing_table'
    ROLLOUT_ORDER = 'rollout_order'
    ROLLOUT_STATUS = 'rollout_status'
    ROLLOUT_REPORT = 'rollout_report'
    OTHER = 'other'


class DocumentCodec(abc.ABC):
    """Decodes documents into the project's types, and back.

    Decoders raise :class:`~laurelwind.errors.ConfigurationError` for what
    cannot be read.
    """

    @abc.abstractmethod
    def tell_kind(self, topic: Topic, key: str) -> DocumentKind:
        """Tell what the document under a key is about.

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
    def decode_order(self, body: bytes) -> RolloutOrder:
        """Decode an order.

        :param body: the document.
        """

    @abc.abstractmethod
    def decode_status(self, key: str, body: bytes) -> tuple[str, RolloutStatus]:
        """Decode a roll-out's status, and name the service.

        :param key: key of the document.
        :param body: the document.
        """

    @abc.abstractmethod
    def encode_status(
        self, service: str, status: RolloutStatus
    ) -> tuple[str, bytes]:
        """Encode a roll-out's status, and give its key.

        :param service: name of the service.
        :param status: the status.
        """

    @abc.abstractmethod
    def decode_report(
        self, key: str, body: bytes
    ) -> tuple[str, str, RolloutReport]:
        """Decode a report, and name the service and the daemon.

        :param key: key of the document.
        :param body: the document.
        """

    @abc.abstractmethod
    def encode_report(
        self, service: str, daemon: str, report: RolloutReport
    ) -> tuple[str, bytes]:
        """Encode a report, and give its key.

        :param service: name of the service.
        :param daemon: name of the daemon.
        :param report: the report.
        """
