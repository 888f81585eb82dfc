"""Handle callers' calls on chat and service routes."""

from collections.abc import AsyncIterator
import json
import logging

from result import Err
from result import Ok
from result import Result
import tornado.iostream
import tornado.web

from jackdawfield.chat import format_chat_chunk
from jackdawfield.chat import format_chat_completion
from jackdawfield.chat import format_chat_end
from jackdawfield.chat import parse_chat
from jackdawfield.decisions.credentials import Identity
from jackdawfield.drivers.callers import AcceptedCall
from jackdawfield.drivers.callers import bad_request_failure
from jackdawfield.drivers.callers import CallerHandler
from jackdawfield.drivers.callers import CallHeaders
from jackdawfield.drivers.callers import NO_ORGANISATION_ID
from jackdawfield.drivers.callers import OPEN_PROGRAM_PREFIX
from jackdawfield.drivers.callers import POSITION_HEADER
from jackdawfield.drivers.callers import TAIL_HEADER
from jackdawfield.drivers.measurement import CallMeter
from jackdawfield.errors import error_body
from jackdawfield.errors import make_failure
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.calls import CallRequest
from jackdawfield.model import CallNumber
from jackdawfield.model import KeyId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import Route
from jackdawfield.model import RouteKind
from jackdawfield.model import RouteName

LOG = logging.getLogger(__name__)


class RouteHandler(CallerHandler):
    """Handles what calls on all routes have in common."""

    def route(self, name: str, kind: RouteKind) -> Route | None:
        """Return a route by its name; None if unknown or of another kind."""
        configuration = self.context.contracts.configuration
        route = configuration.routes_by_name.get(RouteName(name))
        if route is None or route.kind is not kind:
            return None
        return route

    async def accept(self, route: Route) -> AcceptedCall | None:
        """Return the checked call once its rate admits it.

        Return None after an error was sent. Calls of open routes need no key
        and count against no rate.
        """
        if route.open:
            return AcceptedCall(
                Identity(NO_ORGANISATION_ID, KeyId('')), self.make_open_call()
            )
        checked = self.check_call(route)
        if isinstance(checked, Err):
            self.answer_failure(checked.err_value)
            return None
        admitted = await self.admit(checked.ok_value.identity)
        if isinstance(admitted, Err):
            self.answer_failure(admitted.err_value)
            return None
        return checked.ok_value

    def check_call(self, route: Route) -> Result[AcceptedCall, CallFailed]:
        """Return the call, or an error if its key or headers are not valid."""
        found = self.authenticate()
        if isinstance(found, Err):
            return found
        identity = found.ok_value
        if not self.is_route_allowed(identity.organisation_id, route.name):
            return Err(make_failure(403, 'route_closed', route.name))
        return self.parse_call_headers().map(
            lambda call: AcceptedCall(identity, call)
        )

    def make_open_call(self) -> CallHeaders:
        """Return the headers of a call of an open route.

        Such a call is the only one of a program of its own.
        """
        limits = self.context.settings.limits
        return CallHeaders(
            ProgramId(f'{OPEN_PROGRAM_PREFIX}.{self.request_id}'),
            CallNumber(1),
            limits.default_deadline_s,
        )

    def measure_call(
        self,
        events: AsyncIterator[CallEvent],
        identity: Identity,
        route: Route,
    ) -> AsyncIterator[CallEvent]:
        """Return the call's events, measured as they are read."""
        meter = CallMeter(
            self.context.metrics, identity.organisation_id, route.name
        )
        return meter.measure(events)

    def is_route_allowed(
        self, organisation_id: OrganisationId, name: str
    ) -> bool:
        """Return whether any template of an organisation has the route."""
        configuration = self.context.contracts.configuration
        organisation = configuration.organisations_by_id.get(organisation_id)
        if organisation is None:
            return False
        return any(
            name in parameters.route_names
            for parameters in organisation.parameters_by_template.values()
        )

    def make_call_request(
        self, accepted: AcceptedCall, route: Route, streamed: bool
    ) -> CallRequest:
        """Return the message to the instance that runs the program's calls."""
        call = accepted.call
        identity = accepted.identity
        return CallRequest(
            self.request_id,
            identity.organisation_id,
            call.program_id,
            call.number,
            route.name,
            self.request.body,
            call.deadline_s,
            streamed,
            identity.key_id,
            self.request.headers.get(TAIL_HEADER, ''),
            self.request.headers.get(POSITION_HEADER, ''),
        )

    def set_history_headers(self, finished: CallFinished) -> None:
        """Set the headers that the caller returns with its next call."""
        if finished.position:
            self.set_header(POSITION_HEADER, finished.position)
        if finished.tail:
            self.set_header(TAIL_HEADER, finished.tail)


class ChatHandler(RouteHandler):
    """Handles chat completions, streamed or complete."""

    async def post(self) -> None:
        """Run a chat call of a program."""
        match parse_chat(self.request.body):
            case Err(error):
                self.answer_failure(bad_request_failure(str(error)))
                return
            case Ok(body):
                pass
        route = self.route(body.model, RouteKind.CHAT)
        if route is None:
            self.answer_failure(make_failure(404, 'unknown_model', body.model))
            return
        accepted = await self.accept(route)
        if accepted is None:
            return
        identity = accepted.identity
        request = self.make_call_request(accepted, route, body.stream)
        events = self.context.forwarder.call(request)
        if not route.open:
            events = self.context.contracts.until_withdrawn(
                identity.key_id, events
            )
        events = self.measure_call(events, identity, route)
        try:
            if body.stream:
                await self.stream(events, body.model)
            else:
                await self.send_complete(events, body.model)
        except tornado.iostream.StreamClosedError:
            log_event(LOG, 'caller_gone', request_id=self.request_id)
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def stream(
        self, events: AsyncIterator[CallEvent], model: str
    ) -> None:
        """Send the answer piece by piece as server-sent events."""
        has_begun = False
        async for event in events:
            match event:
                case CallChunk(text):
                    self.set_stream_header()
                    has_begun = True
                    self.write(format_chat_chunk(self.request_id, model, text))
                    await self.flush()
                case CallFinished(_, prompt, completion, _, tail) as finished:
                    self.set_stream_header()
                    self.finish(
                        format_chat_end(
                            self.request_id,
                            model,
                            prompt,
                            completion,
                            tail,
                            finished.position,
                        )
                    )
                case CallFailed() as failed if has_begun:
                    text = error_body(failed, self.request_id)
                    self.finish(f'event: error\ndata: {text}\n\n')
                case CallFailed() as failed:
                    self.answer_failure(failed)

    def set_stream_header(self) -> None:
        """Set the content type of server-sent events."""
        self.set_header('Content-Type', 'text/event-stream')

    async def send_complete(
        self, events: AsyncIterator[CallEvent], model: str
    ) -> None:
        """Send the answer once it is complete."""
        text = ''
        async for event in events:
            match event:
                case CallChunk(piece):
                    text += piece
                case CallFinished(_, prompt, completion) as finished:
                    self.set_header('Content-Type', 'application/json')
                    self.set_history_headers(finished)
                    self.finish(
                        format_chat_completion(
                            self.request_id, model, text, prompt, completion
                        )
                    )
                case CallFailed() as failed:
                    self.answer_failure(failed)


class ServiceHandler(RouteHandler):
    """Handles calls of plain services."""

    async def post(self, name: str) -> None:
        """Run a service call of a program."""
        route = self.route(name, RouteKind.SERVICE)
        if route is None:
            self.answer_failure(make_failure(404, 'unknown_route', name))
            return
        try:
            json.loads(self.request.body or b'null')
        except ValueError as error:
            self.answer_failure(
                bad_request_failure(f'body is no JSON: {error}')
            )
            return
        accepted = await self.accept(route)
        if accepted is None:
            return
        identity = accepted.identity
        request = self.make_call_request(accepted, route, False)
        events = self.context.forwarder.call(request)
        if route.repeatable and not route.open:
            events = self.context.contracts.until_withdrawn(
                identity.key_id, events
            )
        events = self.measure_call(events, identity, route)
        async for event in events:
            match event:
                case CallFinished(body) as finished:
                    self.set_header('Content-Type', 'application/json')
                    self.set_history_headers(finished)
                    self.finish(body)
                case CallFailed() as failed:
                    self.answer_failure(failed)
