"""Runs callers' calls on chat and service routes."""

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
from jackdawfield.drivers.callers import Accepted
from jackdawfield.drivers.callers import bad
from jackdawfield.drivers.callers import Call
from jackdawfield.drivers.callers import CallerHandler
from jackdawfield.drivers.callers import NONE
from jackdawfield.drivers.callers import OPEN_DOMAIN
from jackdawfield.drivers.callers import POSITION_HEADER
from jackdawfield.drivers.callers import TAIL_HEADER
from jackdawfield.drivers.measurement import CallMeter
from jackdawfield.errors import error_body
from jackdawfield.errors import failure
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
    """Runs calls on a route."""

    def route(self, name: str, kind: RouteKind) -> Route | None:
        """Return a route of a kind by its name."""
        configuration = self.entry.contracts.configuration
        route = configuration.routes_by_name.get(RouteName(name))
        if route is None or route.kind is not kind:
            return None
        return route

    async def accept(self, route: Route) -> Accepted | None:
        """Return a call that may run, None after a refusal."""
        if route.open:
            return Accepted(Identity(NONE, KeyId('')), self.open_call())
        checked = self.checked(route)
        if isinstance(checked, Err):
            self.fail(checked.err_value)
            return None
        admitted = await self.admit(checked.ok_value.identity)
        if isinstance(admitted, Err):
            self.fail(admitted.err_value)
            return None
        return checked.ok_value

    def checked(self, route: Route) -> Result[Accepted, CallFailed]:
        """Return a call whose key and headers are good."""
        found = self.credential()
        if isinstance(found, Err):
            return found
        identity = found.ok_value
        if not self.may_use(identity.organisation_id, route.name):
            return Err(failure(403, 'route_closed', route.name))
        return self.call_headers().map(lambda call: Accepted(identity, call))

    def open_call(self) -> Call:
        """Return a call that belongs to no program."""
        limits = self.entry.settings.limits
        return Call(
            ProgramId(f'{OPEN_DOMAIN}.{self.request_id}'),
            CallNumber(1),
            limits.default_deadline_s,
        )

    def measured(
        self,
        events: AsyncIterator[CallEvent],
        credential: Identity,
        route: Route,
    ) -> AsyncIterator[CallEvent]:
        """Return the events of a call, measured as they pass."""
        meter = CallMeter(
            self.entry.metrics, credential.organisation_id, route.name
        )
        return meter.measure(events)

    def may_use(self, organisation_id: OrganisationId, name: str) -> bool:
        """Return whether a route is open to an organisation."""
        configuration = self.entry.contracts.configuration
        organisation = configuration.organisations_by_id.get(organisation_id)
        if organisation is None:
            return False
        return any(
            name in parameters.route_names
            for parameters in organisation.parameters_by_template.values()
        )

    def call_request(
        self, accepted: Accepted, route: Route, streamed: bool
    ) -> CallRequest:
        """Return the message to the program's home."""
        call = accepted.call
        credential = accepted.identity
        return CallRequest(
            self.request_id,
            credential.organisation_id,
            call.program_id,
            call.number,
            route.name,
            self.request.body,
            call.deadline_s,
            streamed,
            credential.key_id,
            self.request.headers.get(TAIL_HEADER, ''),
            self.request.headers.get(POSITION_HEADER, ''),
        )

    def set_history(self, finished: CallFinished) -> None:
        """Tell the caller what its next call is to present."""
        if finished.position:
            self.set_header(POSITION_HEADER, finished.position)
        if finished.tail:
            self.set_header(TAIL_HEADER, finished.tail)


class ChatHandler(RouteHandler):
    """Serves chat completions, streamed or whole."""

    async def post(self) -> None:
        """Run one chat call of a program."""
        match parse_chat(self.request.body):
            case Err(error):
                self.fail(bad(str(error)))
                return
            case Ok(body):
                pass
        route = self.route(body.model, RouteKind.CHAT)
        if route is None:
            self.fail(failure(404, 'unknown_model', body.model))
            return
        accepted = await self.accept(route)
        if accepted is None:
            return
        credential = accepted.identity
        request = self.call_request(accepted, route, body.stream)
        events = self.entry.forwarder.call(request)
        if not route.open:
            events = self.entry.contracts.until_withdrawn(
                credential.key_id, events
            )
        events = self.measured(events, credential, route)
        try:
            if body.stream:
                await self.stream(events, body.model)
            else:
                await self.collect(events, body.model)
        except tornado.iostream.StreamClosedError:
            log_event(LOG, 'caller_gone', request_id=self.request_id)
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def stream(
        self, events: AsyncIterator[CallEvent], model: str
    ) -> None:
        """Send the pieces of an answer as they come."""
        begun = False
        async for event in events:
            match event:
                case CallChunk(text):
                    self.begin_stream()
                    begun = True
                    self.write(format_chat_chunk(self.request_id, model, text))
                    await self.flush()
                case CallFinished(_, prompt, completion, _, tail) as finished:
                    self.begin_stream()
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
                case CallFailed() as failed if begun:
                    text = error_body(failed, self.request_id)
                    self.finish(f'event: error\ndata: {text}\n\n')
                case CallFailed() as failed:
                    self.fail(failed)

    def begin_stream(self) -> None:
        """Mark the answer as a stream of events."""
        self.set_header('Content-Type', 'text/event-stream')

    async def collect(
        self, events: AsyncIterator[CallEvent], model: str
    ) -> None:
        """Send an answer when it is whole."""
        text = ''
        async for event in events:
            match event:
                case CallChunk(piece):
                    text += piece
                case CallFinished(_, prompt, completion) as finished:
                    self.set_header('Content-Type', 'application/json')
                    self.set_history(finished)
                    self.finish(
                        format_chat_completion(
                            self.request_id, model, text, prompt, completion
                        )
                    )
                case CallFailed() as failed:
                    self.fail(failed)


class ServiceHandler(RouteHandler):
    """Runs calls of plain services."""

    async def post(self, name: str) -> None:
        """Run one service call of a program."""
        route = self.route(name, RouteKind.SERVICE)
        if route is None:
            self.fail(failure(404, 'unknown_route', name))
            return
        try:
            json.loads(self.request.body or b'null')
        except ValueError as error:
            self.fail(bad(f'body is no JSON: {error}'))
            return
        accepted = await self.accept(route)
        if accepted is None:
            return
        credential = accepted.identity
        request = self.call_request(accepted, route, False)
        events = self.entry.forwarder.call(request)
        if route.repeatable and not route.open:
            events = self.entry.contracts.until_withdrawn(
                credential.key_id, events
            )
        events = self.measured(events, credential, route)
        async for event in events:
            match event:
                case CallFinished(body) as finished:
                    self.set_header('Content-Type', 'application/json')
                    self.set_history(finished)
                    self.finish(body)
                case CallFailed() as failed:
                    self.fail(failed)
