"""Session tokens: signed and self-contained, so no shared state is needed."""

from collections.abc import Sequence
from typing import Final

from attrs import asdict, frozen
from itsdangerous import BadSignature, URLSafeSerializer

from laurelwind.errors import CallerError, ErrorKind
from laurelwind.state.conversion import LENIENT

_SALT: Final = 'laurelwind.session'


@frozen(kw_only=True)
class Session:
    """Content of a session token.

    :ivar session_id: identifier of the session.
    :ivar workspace: workspace that the session belongs to.
    :ivar task: name of the task or model.
    :ivar reference: ``model@version``, fixed for the whole session.
    """

    session_id: str
    workspace: str
    task: str
    reference: str


class SessionSigner:
    """Signs tokens with the newest key and accepts those of older keys.

    :param keys: signing keys, oldest first.
    """

    def __init__(self, *, keys: Sequence[str]) -> None:
        self._serializer = URLSafeSerializer(list(keys), salt=_SALT)

    def sign(self, session: Session) -> str:
        """Return the signed token of a session.

        :param session: content of the token.
        """
        return str(self._serializer.dumps(asdict(session)))

    def read(self, token: str, workspace: str) -> Session:
        """Verify and decode a token sent by a caller.

        :param token: the token.
        :param workspace: workspace that the caller's key belongs to.
        :raises CallerError: if the signature is invalid, the content cannot be
            decoded, or the session belongs to another workspace.
        """
        try:
            session = LENIENT.structure(self._serializer.loads(token), Session)
        except (BadSignature, Exception):
            raise _build_error() from None
        if session.workspace != workspace:
            raise _build_error()
        return session


def _build_error() -> CallerError:
    return CallerError(
        ErrorKind.SESSION_INVALID,
        'the session token is not valid for this workspace',
    )
