"""Log of state changes and unexpected exceptions."""

import eliot


def log_event(event: str, /, **fields: object) -> None:
    """Log a state change.

    :param event: name of the event.
    :param fields: details of the change; never a key or a credential.
    """
    eliot.log_message(event, **fields)


def log_traceback() -> None:
    """Log the traceback of the exception that is being handled."""
    eliot.write_traceback()
