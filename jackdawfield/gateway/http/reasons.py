"""Name why a connection ended or carried no response.

What callers are told, what is counted and what is logged of a failure comes
from here, never from bytes that were received.
"""

from enum import StrEnum
import errno


class LossReason(StrEnum):
    """Lists the reasons, each with its text."""

    NONE = ''
    ANSWER_CUT = 'answer cut'
    ANSWER_LOST = 'answer lost'
    ANSWER_TOO_LARGE = 'answer too large'
    BYTES_WITHOUT_REQUEST = 'bytes without a request'
    CALLER_LEFT = 'caller left'
    CANCELLED = 'cancelled'
    CARRIED_BEFORE = 'has carried this request before'
    CLOSED = 'closed'
    CLOSED_BY_SERVER = 'closed by the server'
    CLOSED_OR_LATE_BYTES = 'closed by the server, or late bytes'
    DONE = 'done'
    IDLE = 'idle for too long'
    LATE_ANSWER = 'late answer ended the connection'
    MALFORMED = 'malformed answer'
    NO_ANSWER_IN_TIME = 'no answer in time'
    NO_CONNECTION = 'no connection'
    NO_CONNECTION_IN_TIME = 'no connection in time'
    NO_PEER = 'no peer'
    NO_REQUEST = 'no request'
    NO_REQUEST_ID = 'answer without the id of its request'
    NOT_REACHED = 'not reached'
    NOT_REACHED_EITHER = 'not reached from here either'
    NOT_REUSABLE = 'not reusable'
    NOT_SENT = 'not sent'
    OTHERS_SILENT = 'others have fallen silent'
    PEER_ENDED = 'peer ended the relay'
    PEER_FAILED = 'peer failed'
    PEER_SILENT = 'peer is silent'
    REFUSAL_WITHOUT_END = 'refusal without end'
    REFUSED = 'connection refused'
    RESET = 'connection reset'
    SERVER_AT_LIMIT = 'server is at its limit'
    SERVER_LEAVING = 'server is leaving'
    SERVER_UNKNOWN = 'server not listed here'
    STOPPING = 'stopping'
    TIMEOUT = 'timeout'
    TOO_LATE = 'too late to send'
    TOO_MANY_RELAYED = 'too many relayed calls'
    TOO_MANY_ANSWERS = 'too many answers that belong to no request'


REASONS_BY_ERROR = {
    errno.ECONNREFUSED: LossReason.REFUSED,
    errno.ECONNRESET: LossReason.RESET,
    errno.EPIPE: LossReason.RESET,
    errno.EHOSTUNREACH: LossReason.NOT_REACHED,
    errno.ENETUNREACH: LossReason.NOT_REACHED,
    errno.ETIMEDOUT: LossReason.NOT_REACHED,
}


def parse_reason(text: str) -> LossReason:
    """Return the reason that a peer gives, PEER_FAILED if it is no such one.

    Earlier versions gave texts of their own.
    """
    try:
        return LossReason(text)
    except ValueError:
        return LossReason.PEER_FAILED


def reason_of(error: Exception, otherwise: LossReason) -> LossReason:
    """Return the reason of an error of the operating system."""
    if isinstance(error, OSError) and error.errno is not None:
        return REASONS_BY_ERROR.get(error.errno, otherwise)
    return otherwise
