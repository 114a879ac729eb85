"""The caller interface that lists entries, the addresses for callers."""

from collections.abc import Sequence
from urllib.parse import parse_qs

from laurelwind.coordination.entries import EntryChooser
from laurelwind.transport.application import Resource
from laurelwind.transport.caller_exchange import CallerExchange


class EntryHandlers:
    """Handler of the list of entries, which needs no key.

    :param chooser: chooses and orders the entries for a caller.
    """

    def __init__(self, *, chooser: EntryChooser) -> None:
        self._chooser = chooser

    def list_resources(self) -> Sequence[Resource]:
        """List the resources of these handlers."""
        return (
            Resource(path='/v1/entries', methods={'GET': self.list_entries}),
        )

    async def list_entries(self, exchange: CallerExchange) -> None:
        """List the entries to connect to, in order of preference.

        :param exchange: the caller's request.
        """
        zones = parse_qs(exchange.query).get('zone', [''])
        await exchange.send_json(self._chooser.choose(zones[0]))
