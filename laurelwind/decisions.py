"""Structured, rate-limited and non-blocking log on standard output."""

import abc
import json
import os
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import orjson

# Token bucket of log lines: refill rate and capacity.  With lines of about
# 300 bytes a daemon stays under 100 kB a second.
LINES_PER_S: Final = 200.0
BURST_LINES: Final = 600.0
# Tokens reserved for warnings (failures, refusals and state changes), so that
# routine lines cannot crowd them out.
RESERVED_LINES: Final = 200.0
_STANDARD_OUTPUT: Final = 1


class WarningLog(abc.ABC):
    """Receives warnings."""

    @abc.abstractmethod
    def log_warning(self, event: str, /, **fields: Any) -> None:
        """Log a failure, a refusal or a state change.

        :param event: name of the event.
        :param fields: inputs of the decision, their age, and the outcome;
            never a key.
        """


class DecisionLog(WarningLog):
    """Writes one JSON line for each routing decision or state change.

    Lines over the rate limit, and lines that do not fit into the buffer of the
    pipe, are dropped.  The next line written carries their number.

    :param daemon: name of the daemon, written on every line.
    :param descriptor: file descriptor that receives the lines.
    :param count: called with each event, whether its line is written or not.
    """

    def __init__(
        self,
        *,
        daemon: str = '',
        descriptor: int = _STANDARD_OUTPUT,
        count: Callable[[str], None] | None = None,
    ) -> None:
        self._count = count
        self._daemon = daemon
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._unsent = b''
        self.dropped_lines = 0

    def start(self) -> None:
        """Make the descriptor non-blocking, so a slow reader delays nothing."""
        os.set_blocking(self._descriptor, False)

    def log_info(self, event: str, /, **fields: Any) -> None:
        """Log a routine decision.

        :param event: name of the event.
        :param fields: inputs of the decision, their age, and the outcome;
            never a key.
        """
        self._write(event, fields, RESERVED_LINES)

    def log_warning(self, event: str, /, **fields: Any) -> None:
        """Log a failure, a refusal or a state change; see the base class."""
        self._write(event, fields, 0)

    def _consume_token(self, reserved: float) -> bool:
        now = time.monotonic()
        refilled = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._tokens = min(self._tokens + refilled, BURST_LINES)
        if self._tokens < reserved + 1:
            self.dropped_lines += 1
            return False
        self._tokens -= 1
        return True

    def _write(
        self, event: str, fields: Mapping[str, Any], reserved: float
    ) -> None:
        if self._count is not None:
            self._count(event)
        if not self._consume_token(reserved):
            return
        line: dict[str, Any] = {
            'time': round(time.time(), 3),
            'daemon': self._daemon,
            'event': event,
            **fields,
        }
        if self.dropped_lines:
            line['lines_left_out'] = self.dropped_lines
        encoded = _encode_line(line)
        if self._write_bytes(encoded):
            self.dropped_lines = 0
        else:
            self.dropped_lines += 1

    def _write_bytes(self, encoded: bytes) -> bool:
        # The remainder of a partially written line goes first, so that lines
        # never interleave.
        pending = self._unsent + encoded
        try:
            sent = os.write(self._descriptor, pending)
        except BlockingIOError:
            return False
        except OSError:
            self._unsent = b''
            return False
        if sent < len(self._unsent):
            self._unsent = self._unsent[sent:]
            return False
        self._unsent = pending[sent:]
        return True


def _encode_line(line: Mapping[str, Any]) -> bytes:
    try:
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except orjson.JSONEncodeError:
        # Integers of more than 64 bits, or lone surrogates.
        text = json.dumps(line, default=str, ensure_ascii=False)
        return f'{text}\n'.encode(errors='replace')
