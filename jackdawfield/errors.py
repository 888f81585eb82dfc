"""Create typed errors and encode them for callers."""

import json

from jackdawfield.messages.calls import CallFailed
from jackdawfield.model import Execution


def make_failure(
    status: int,
    code: str,
    reason: str,
    execution: Execution = Execution.NOT_RUN,
    retry_after_s: float = 0.0,
) -> CallFailed:
    """Return a typed error with an HTTP status; by default nothing has run."""
    return CallFailed(status, code, reason, execution, retry_after_s)


def error_body(failed: CallFailed, request_id: str) -> str:
    """Return a typed error as the JSON body of a response to a caller."""
    error: dict[str, object] = {
        'code': failed.code,
        'message': failed.reason,
        'execution': failed.execution.value,
        'request_id': request_id,
    }
    if failed.retry_after_s:
        error['retry_after_s'] = round(failed.retry_after_s, 3)
    return json.dumps({'error': error})
