"""Edits of a configuration document in its plain JSON form."""

import copy
from collections.abc import Mapping
from typing import Any

from laurelwind.errors import ConfigurationError, ErrorKind
from laurelwind.state.document import VersionReference, VersionState


def set_version_state(
    document: Mapping[str, Any], reference: str, state: VersionState
) -> dict[str, Any]:
    """Return a copy of a document with the state of one version changed.

    :param document: the document as plain JSON types.
    :param reference: ``model@version``.
    :param state: the new state.
    :raises ConfigurationError: if the document has no such version.
    """
    parsed = VersionReference.parse(reference)
    changed: dict[str, Any] = copy.deepcopy(dict(document))
    try:
        version = changed['models'][parsed.model]['versions'][parsed.version]
    except KeyError:
        raise ConfigurationError(
            ErrorKind.MODEL_UNKNOWN, f'the document has no version {reference}'
        ) from None
    version['state'] = str(state)
    return changed
