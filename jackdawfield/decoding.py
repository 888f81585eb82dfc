"""Decode values that another process has written."""

import re

import msgspec

# What decoding can raise for bytes of any content, deep nesting included.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
# Above every number in use, and far below what conversion refuses.
MAX_COUNT_DIGITS = 18
COUNT = re.compile(f'[0-9]{{1,{MAX_COUNT_DIGITS}}}')


def parse_count(text: str | None) -> int | None:
    """Return a whole number in ASCII digits, None for anything else."""
    if text is None or COUNT.fullmatch(text) is None:
        return None
    return int(text)
