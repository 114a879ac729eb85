"""Errors of requests whose claims are not granted."""

import time
from typing import Final

from laurelwind.errors import (
    CallerError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.messages import ClaimAnswer, ClaimVerdict

_OUTCOME_UNKNOWN_AFTER_S: Final = 150.0


def build_refusal(answer: ClaimAnswer) -> LaurelwindError:
    """Build the error of a request whose claim was not granted.

    :param answer: answer of the partition owner.
    """
    if answer.verdict is ClaimVerdict.REUSED:
        return CallerError(
            ErrorKind.IDEMPOTENCY_KEY_REUSED,
            'the idempotency key was already used for a different call',
        )
    if answer.verdict is ClaimVerdict.EXPIRED:
        return CallerError(
            ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
            'the idempotency key is too old to check whether it was used',
        )
    if answer.verdict is ClaimVerdict.HELD:
        return _build_held_refusal(answer)
    return LaurelwindError(
        ErrorKind.LOG_UNAVAILABLE,
        'the claim could not be recorded, so the call was not run',
        run=RunState.NOT_RUN,
    )


def _build_held_refusal(answer: ClaimAnswer) -> LaurelwindError:
    if time.time() - answer.claimed_at < _OUTCOME_UNKNOWN_AFTER_S:
        return CallerError(
            ErrorKind.IN_PROGRESS,
            'a call with this idempotency key is in progress',
        )
    return CallerError(
        ErrorKind.OUTCOME_UNKNOWN,
        'a call with this idempotency key was started; its outcome is unknown',
    )
