"""What stand-in endpoints do besides faults."""

from attrs import frozen


@frozen(kw_only=True)
class UnusualBehaviour:
    """What some endpoints do that is rare, but allowed or to be borne.

    :ivar unframed_share: share of answers that end with the connection.
    :ivar has_floods: whether the faults include bytes without end.
    :ivar crash_part: name of the prompt part that crashes the endpoint, or an
        empty string.
    """

    unframed_share: float = 0
    has_floods: bool = False
    crash_part: str = ''
