"""Log of state changes and unexpected exceptions."""

import eliot


def note_change(event: str, /, **fields: object) -> None:
    """Log a state change.

    :param event: name of the event.
    :param fields: details of the change; never a key or a credential.
    """
    eliot.log_message(event, **fields)


def note_traceback() -> None:
    """Log the traceback of the exception that is being handled."""
    eliot.write_traceback()
