"""Authenticate and admit callers' requests and answer typed errors."""

from dataclasses import dataclass
import logging
import secrets
import time

from result import Err
from result import Ok
from result import Result
import tornado.iostream
import tornado.web

from jackdawfield.decisions.credentials import body_contains_key
from jackdawfield.decisions.credentials import contains_key
from jackdawfield.decisions.credentials import Identity
from jackdawfield.decisions.credentials import parse_authorization
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.forwarding import Forwarder
from jackdawfield.drivers.rates import RatesDriver
from jackdawfield.errors import error_body
from jackdawfield.errors import make_failure
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.rates import RateRefusal
from jackdawfield.messages.rates import RefusalReason
from jackdawfield.metrics import Registry
from jackdawfield.model import CallNumber
from jackdawfield.model import Execution
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
PROGRAM_HEADER = 'X-Jackdawfield-Program'
CALL_HEADER = 'X-Jackdawfield-Call'
DEADLINE_HEADER = 'X-Jackdawfield-Deadline-Ms'
TAIL_HEADER = 'X-Jackdawfield-Tail'
POSITION_HEADER = 'X-Jackdawfield-Position'
REQUEST_HEADER = 'X-Request-Id'
MS_PER_S = 1000
NO_ORGANISATION_ID = OrganisationId('')
OPEN_PROGRAM_PREFIX = 'open'


@dataclass(frozen=True, slots=True)
class CallerContext:
    """Holds the components that handlers of callers' requests use."""

    settings: Settings
    contracts: FleetStateDriver
    rates: RatesDriver
    forwarder: Forwarder
    requests_in_flight: set[str]
    metrics: Registry


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Holds the checked headers of one call."""

    program_id: ProgramId
    number: CallNumber
    deadline_s: float


@dataclass(frozen=True, slots=True)
class AcceptedCall:
    """Holds the headers and the identity of a call that may run."""

    identity: Identity
    call: CallHeaders


class CallerHandler(tornado.web.RequestHandler):
    """Handles what all callers' requests have in common."""

    def initialize(self, entry: CallerContext) -> None:
        """Set the components that the handler uses."""
        self.context = entry
        self.request_id = secrets.token_hex(8)
        self.started_s = time.monotonic()

    def set_default_headers(self) -> None:
        """Remove the header that names the HTTP server."""
        self.clear_header('Server')

    def prepare(self) -> None:
        """Refuse requests above the limit in flight or with an exposed key."""
        self.set_header(REQUEST_HEADER, self.request_id)
        limit = self.context.settings.limits.requests_in_flight
        if len(self.context.requests_in_flight) >= limit:
            self.answer_failure(
                make_failure(
                    503, 'too_many_requests', 'in flight', retry_after_s=1.0
                )
            )
            return
        self.context.requests_in_flight.add(self.request_id)
        if self.exposes_key():
            self.answer_failure(
                make_failure(400, 'key_exposed', 'a key outside Authorization')
            )

    def exposes_key(self) -> bool:
        """Return whether a key is in a part that is forwarded or logged."""
        header = self.request.headers.get('Authorization', '')
        secret = parse_authorization(header).map_or('', lambda k: k.secret)
        headers = self.request.headers
        exposed_parts = (
            (self.request.uri or '').encode(),
            headers.get(PROGRAM_HEADER, '').encode(),
            headers.get(TAIL_HEADER, '').encode(),
        )
        return any(contains_key(part, secret) for part in exposed_parts) or (
            body_contains_key(self.request.body, secret)
        )

    def on_finish(self) -> None:
        """Log the completed request."""
        self.context.requests_in_flight.discard(self.request_id)
        elapsed_s = time.monotonic() - self.started_s
        log_event(
            LOG,
            'request',
            request_id=self.request_id,
            path=redact_key(self.request.path),
            program=redact_key(self.request.headers.get(PROGRAM_HEADER, '')),
            status=self.get_status(),
            elapsed_ms=round(elapsed_s * MS_PER_S, 1),
        )

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer with the status of an uncaught exception."""
        execution = Execution.NOT_RUN
        if status_code >= 500:
            execution = Execution.UNKNOWN
        failed = CallFailed(status_code, 'http_error', self._reason, execution)
        self.finish(error_body(failed, self.request_id))

    def answer_failure(self, failed: CallFailed) -> None:
        """Answer with a typed error."""
        self.set_status(failed.status)
        self.set_header('Content-Type', 'application/json')
        if failed.retry_after_s:
            seconds = max(1, round(failed.retry_after_s))
            self.set_header('Retry-After', str(seconds))
        self.finish(error_body(failed, self.request_id))

    def authenticate(self) -> Result[Identity, CallFailed]:
        """Return the organisation and key of the request."""
        if not self.context.contracts.is_lease_valid(time.monotonic()):
            return Err(
                make_failure(
                    503, 'no_lease', 'instance lost its lease', retry_after_s=1
                )
            )
        header = self.request.headers.get('Authorization', '')
        match self.context.contracts.authenticate(header):
            case Ok(credential):
                return Ok(credential)
            case Err(error):
                return Err(make_failure(401, 'bad_key', error.fault.value))

    async def admit(self, identity: Identity) -> Result[None, CallFailed]:
        """Count the request against its organisation's rate, or refuse it."""
        admitted = await self.context.rates.admit(
            identity.organisation_id, self.request_id
        )
        return admitted.map_err(rate_failure)

    def parse_call_headers(self) -> Result[CallHeaders, CallFailed]:
        """Return the program, call number and deadline that the headers give.

        The deadline is optional. The error names the invalid header.
        """
        headers = self.request.headers
        program = headers.get(PROGRAM_HEADER, '')
        if not program:
            return Err(bad_request_failure(f'{PROGRAM_HEADER} is missing'))
        number_text = headers.get(CALL_HEADER, '')
        if (
            not number_text.isascii()
            or not number_text.isdigit()
            or int(number_text) < 1
        ):
            return Err(
                bad_request_failure(f'{CALL_HEADER}: expected a number from 1')
            )
        limits = self.context.settings.limits
        deadline_text = headers.get(
            DEADLINE_HEADER, str(int(limits.default_deadline_s * MS_PER_S))
        )
        if (
            not deadline_text.isascii()
            or not deadline_text.isdigit()
            or int(deadline_text) < 1
        ):
            return Err(
                bad_request_failure(
                    f'{DEADLINE_HEADER}: expected milliseconds'
                )
            )
        return Ok(
            CallHeaders(
                ProgramId(program),
                CallNumber(int(number_text)),
                int(deadline_text) / MS_PER_S,
            )
        )


def redact_key(text: str) -> str:
    """Return a text for the log, replaced if it contains a key."""
    return '[key]' if contains_key(text.encode()) else text


def rate_failure(refusal: RateRefusal) -> CallFailed:
    """Return the error of a request that was not admitted."""
    match refusal.reason:
        case RefusalReason.OVER_RATE:
            status, code = 429, 'over_rate'
        case RefusalReason.NO_CONTRACT:
            status, code = 403, 'no_contract'
        case _:
            status, code = 503, 'rate_unknown'
    return make_failure(
        status,
        code,
        refusal.reason.value,
        retry_after_s=refusal.retry_after_s,
    )


def bad_request_failure(reason: str) -> CallFailed:
    """Return the error of a malformed request."""
    return make_failure(400, 'bad_request', reason)
