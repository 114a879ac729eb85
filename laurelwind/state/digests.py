"""Digests of byte strings."""

import hashlib
from typing import Final

_DIGEST_LENGTH: Final = 40


def hash_fields(*fields: bytes) -> str:
    """Hash byte strings, each prefixed with its length.

    The prefixes keep ``(b'ab', b'c')`` and ``(b'a', b'bc')`` distinct.

    :param fields: byte strings to hash, in order.
    """
    digest = hashlib.sha256()
    for part in fields:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()[:_DIGEST_LENGTH]
