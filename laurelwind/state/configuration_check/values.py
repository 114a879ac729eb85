"""Text of the values in a configuration, without callers' keys."""

import hashlib
import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

from laurelwind.state.validation import is_hash

_DIGEST_LENGTH: Final = 12
_MAX_LENGTH: Final = 60
_KEY_WORDS: Final = ('key', 'secret')
# Tables whose rows hold no keys. Of the rows of other tables, only some fields
# are shown: a key may stand in any other one, for instance in one whose name is
# misspelt.
_SHOWN_TABLES: Final = frozenset(
    ('limits', 'models', 'pools', 'routes', 'schema', 'services', 'version')
)
_KEY_TABLES: Final = frozenset(('tenants', 'workspaces'))
_SHOWN_FIELDS: Final = frozenset(
    (
        'allowed_regions',
        'limits',
        'name',
        'preference',
        'priority',
        'services',
        'tasks',
        'versions',
    )
)
_HASH_FIELD: Final = 'key_hashes'


def compute_key_digest(key: str, path: Sequence[str]) -> str:
    """Return the digest by which a key is shown.

    It is the beginning of the SHA-256 hash of the key. A key and the hash of it
    that a document holds have the same digest.

    :param key: a caller's key, or its hash.
    :param path: names and indexes of the fields from the document to the key.
    """
    # A key itself may look like a hash, so only the field decides.
    if _HASH_FIELD not in path or not is_hash(key):
        # JSON may hold single surrogates, which UTF-8 does not encode.
        key = hashlib.sha256(key.encode(errors='surrogatepass')).hexdigest()
    digest = key[:_DIGEST_LENGTH]
    return f'sha256:{digest}'


def describe_value(field: Any, path: Sequence[str]) -> str:
    """Return a value as JSON on one line; keys as a digest.

    Objects and lists that may hold keys are shown by their size alone.

    :param field: plain JSON types.
    :param path: names and indexes of the fields from the document to the value.
    """
    if _may_hold_key(path):
        return _hide_value(field, path)
    if isinstance(field, Mapping):
        return f'an object of {len(field)} fields'
    text = json.dumps(field, default=str)
    if len(text) > _MAX_LENGTH:
        beginning = text[:_MAX_LENGTH]
        return f'{beginning}... ({len(text)} characters)'
    return text


def is_listed_by_field(path: Sequence[str]) -> bool:
    """Return whether the fields of a value may be shown one by one.

    Their names are shown then, which may be keys in a table that daemons do
    not know.

    :param path: names and indexes of the fields from the document to the value.
    """
    if len(path) > 2:
        return not _may_hold_key(path)
    return not path or path[0] in _SHOWN_TABLES | _KEY_TABLES


def _may_hold_key(path: Sequence[str]) -> bool:
    if not path:
        return True
    # What follows the name of the table and the name or index of the row.
    fields = path[2:]
    if any(word in name for name in fields for word in _KEY_WORDS):
        return True
    if path[0] in _SHOWN_TABLES:
        return False
    return path[0] not in _KEY_TABLES or _SHOWN_FIELDS.isdisjoint(fields[:1])


def _hide_value(field: Any, path: Sequence[str]) -> str:
    if isinstance(field, Mapping):
        return f'an object of {len(field)} fields'
    if isinstance(field, list | tuple):
        return f'a list of {len(field)}'
    if isinstance(field, bool) or field is None:
        return json.dumps(field)
    return compute_key_digest(str(field), path)
