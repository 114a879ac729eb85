"""Log of state changes and unexpected exceptions."""

from typing import Any

import eliot

from laurelwind.decisions import WarningLog


def log_event(event: str, /, **fields: object) -> None:
    """Log a state change.

    :param event: name of the event.
    :param fields: details of the change; never a key or a credential.
    """
    eliot.log_message(event, **fields)


def log_traceback() -> None:
    """Log the traceback of the exception that is being handled."""
    eliot.write_traceback()


class EventLog(WarningLog):
    """Logs warnings as state changes."""

    def log_warning(self, event: str, /, **fields: Any) -> None:
        """Log a warning; see :class:`WarningLog`."""
        log_event(event, **fields)
