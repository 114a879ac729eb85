"""The platform's names of headers."""

from typing import Final

from laurelwind.protocol.headers import HeaderNames

PLATFORM_HEADERS: Final = HeaderNames(
    # Named by each attempt of a caller, not by the caller's wish as a whole.
    request_id=b'x-request-id',
    deadline_ms=b'x-deadline-ms',
    model=b'x-model',
    # Prompt tokens and the largest output, not what was used.
    tokens=b'x-token-usage',
    # The parts' names and lengths, not a hash of the prefix.
    parts=b'x-prefix-hash',
    session=b'session',
    last_event_id=b'last-event-id',
    endpoint=b'x-expect-instance',
    workspace=b'x-tenant-id',
    priority=b'x-request-priority',
    load=b'x-instance-load',
    did_not_run=b'x-not-executed',
    confidence=b'x-confidence',
    reserved=frozenset(
        (
            b'x-expect-version',
            b'x-pin-ms',
            b'x-cache-hold',
            b'x-kv-backup',
            b'kv-from',
            b'kv-fetch',
        )
    ),
)
