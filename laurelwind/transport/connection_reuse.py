"""Decides whether a connection may carry another request."""

from attrs import frozen


@frozen(kw_only=True)
class MessageProgress:
    """What has been read of a message, compared with what its head declared.

    :ivar is_complete: whether the declared body has been read to its end.
    :ivar has_surplus: whether bytes arrived that belong to no message.
    :ivar must_close: whether one side closes the connection after the message.
    """

    is_complete: bool
    has_surplus: bool = False
    must_close: bool = False


def may_reuse(progress: MessageProgress) -> bool:
    """Return whether a connection may carry another request.

    Bytes that were declared and not read, or read and not declared, would be
    parsed as the next message.

    :param progress: the last message that was received on the connection.
    """
    return (
        progress.is_complete
        and not progress.has_surplus
        and not progress.must_close
    )
