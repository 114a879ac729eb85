"""Header names of the platform."""

from typing import Final

from laurelwind.protocol.headers import HeaderNames

PLATFORM_HEADERS: Final = HeaderNames(
    # Identifies an attempt of a caller; its retries carry other ids.
    request_id=b'x-request-id',
    deadline_ms=b'x-deadline-ms',
    model=b'x-model',
    # Prompt tokens and the output limit, not the tokens used.
    tokens=b'x-token-usage',
    # Estimate of the output tokens: right at the median, often far off.
    length_hint=b'x-length-hint',
    # Names and lengths of the prompt's parts, not a hash of the prefix.
    parts=b'x-prefix-hash',
    session=b'session',
    last_event_id=b'last-event-id',
    endpoint=b'x-expect-instance',
    workspace=b'x-tenant-id',
    priority=b'x-request-priority',
    load=b'x-instance-load',
    did_not_run=b'x-not-executed',
    confidence=b'x-confidence',
    leaving=b'server-leaving',
    rate_limit=b'server-limit',
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
