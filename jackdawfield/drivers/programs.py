"""Run the calls of programs at their home, the instance that owns them."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from contextlib import aclosing
import logging
import time

from result import Err

from jackdawfield.decisions.budgets import BudgetRefusal
from jackdawfield.decisions.budgets import Limit
from jackdawfield.decisions.home_base import OwnershipState
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.programs import EndReason
from jackdawfield.decisions.programs import find_home
from jackdawfield.decisions.programs import ProgramEnded
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.drivers.backends import EngineClient
from jackdawfield.drivers.backends import ServiceClient
from jackdawfield.drivers.budgets import ChatLimit
from jackdawfield.drivers.budgets import DEFAULT_MAX_TOKENS
from jackdawfield.drivers.budgets import reserve_tokens
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.effect_calls import EffectCalls
from jackdawfield.drivers.homes import Arrival
from jackdawfield.drivers.homes import HomesDriver
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.pools import PoolsDriver
from jackdawfield.drivers.program_errors import home_failure
from jackdawfield.drivers.program_records import answer_events
from jackdawfield.drivers.program_records import FIRST_EPOCH
from jackdawfield.drivers.program_records import is_first_home
from jackdawfield.drivers.program_records import make_call_received
from jackdawfield.drivers.program_records import make_slot_request
from jackdawfield.drivers.server_calls import is_effect_route
from jackdawfield.drivers.server_calls import not_run_failure
from jackdawfield.drivers.server_calls import ServerCalls
from jackdawfield.errors import make_failure
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.calls import CallRequest
from jackdawfield.messages.calls import CreateProgram
from jackdawfield.messages.calls import EndProgram
from jackdawfield.messages.calls import ProgramAnswer
from jackdawfield.messages.programs import encode_answer
from jackdawfield.messages.programs import encode_request
from jackdawfield.messages.programs import StoredAnswer
from jackdawfield.metrics import Metric
from jackdawfield.metrics import Registry
from jackdawfield.model import Execution
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import ProgramId
from jackdawfield.model import Route
from jackdawfield.model import RouteKind
from jackdawfield.settings import Settings

MS_PER_S = 1000
END_REASONS_BY_LIMIT = {
    Limit.BUDGET: EndReason.BUDGET,
    Limit.TURNS: EndReason.TURN_LIMIT,
    Limit.DEADLINE: EndReason.DEADLINE,
}
LOG = logging.getLogger(__name__)


class ProgramsDriver:
    """Creates and ends programs and runs their calls."""

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
        pools: PoolsDriver,
        engines: EngineClient,
        services: ServiceClient,
        homes: HomesDriver,
        metrics: Registry,
        effects: EffectCalls,
    ) -> None:
        self._own_id = InstanceId(settings.instance_id)
        self._contracts = contracts
        self._pools = pools
        self._calls = ServerCalls(contracts, engines, services, effects)
        self._homes = homes
        self._metrics = metrics
        self._effects = effects
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, server: PeerServer) -> None:
        """Register the handlers for messages of forwarding instances."""
        server.handle_stream(CallRequest, self.run_call)
        server.handle(CreateProgram, self.create)
        server.handle(EndProgram, self.end)

    def home_address(self, program_id: ProgramId) -> str | None:
        """Return the address of a program's home.

        It is None if the home is this instance or there is none.
        """
        members_by_id = self._contracts.members_by_id
        home_id = find_home(program_id, members_by_id)
        if home_id is None or home_id == self._own_id:
            return None
        return members_by_id[home_id].peer_address

    async def create(
        self, request: CreateProgram
    ) -> ProgramAnswer | CallFailed:
        """Create a program and return its state, or why it was refused.

        The state is also returned if the program exists here already.
        """
        home = self._homes.get_home(request.program_id)
        if home.ownership is not OwnershipState.CLOSED:
            return ProgramAnswer(request.program_id, 'running')
        arrival = self._homes.add_arrival()
        row = ProgramRow(
            request.program_id,
            request.organisation_id,
            request.template_name,
            FIRST_EPOCH,
            Incarnation(''),
            time.time(),
            parent_id=ProgramId(request.parent_id) or None,
        )
        begin_requested = ev.BeginRequested(
            arrival.arrival_id, row, time.monotonic()
        )
        self._homes.apply_event(home, begin_requested)
        output = await arrival.outputs.get()
        self._homes.remove_arrival(arrival)
        match output:
            case ev.ConfirmBegin(_, tail):
                sealed = self._homes.seal_tail(home, tail)
                return ProgramAnswer(
                    request.program_id, 'running', tail=sealed
                )
            case ev.Refuse(_, error):
                return home_failure(error)
        return home_failure(ev.Moved())

    async def end(self, request: EndProgram) -> ProgramAnswer | CallFailed:
        """End a program and return its state, or why it was refused."""
        home = self._homes.get_home(request.program_id)
        arrival = self._homes.add_arrival()
        end_requested = ev.EndRequested(
            arrival.arrival_id,
            request.organisation_id,
            EndReason.REQUESTED,
            time.monotonic(),
        )
        self._homes.apply_event(home, end_requested)
        output = await arrival.outputs.get()
        self._homes.remove_arrival(arrival)
        match output:
            case ev.Refuse(_, error):
                return home_failure(error)
        self._record_latency(home)
        self._pools.remove_program(request.program_id)
        return ProgramAnswer(request.program_id, 'ended')

    def _record_latency(self, home: ProgramHome) -> None:
        if home.row is None:
            return
        now_s = time.time()
        self._metrics.record(
            Metric.PROGRAM_LATENCY,
            home.row.organisation_id,
            home.row.template_name,
            (now_s - home.row.started_unix_s) * MS_PER_S,
            now_s,
        )

    async def run_call(self, request: CallRequest) -> AsyncIterator[CallEvent]:
        """Run one call in the order of its program and yield its events."""
        if self.has_open_route(request):
            # Programs of open routes have no rows and no history.
            detached_home = ProgramHome(request.program_id, Incarnation(''))
            async for event in self._run_on_server(detached_home, request):
                yield event
            return
        home = self._homes.get_home(request.program_id)
        async for event in self._run_call(request):
            if self.is_effect(request):
                is_sole_owner = self._is_sole_owner(home)
                event = self._effects.correct_execution(
                    request, is_sole_owner, event
                )
            yield event

    def has_open_route(self, request: CallRequest) -> bool:
        """Return whether calls of the request's route need no key."""
        route = self._find_route(request)
        return route is not None and route.open

    def is_effect(self, request: CallRequest) -> bool:
        """Return whether the request is an effect, a call run at most once."""
        route = self._find_route(request)
        return route is not None and is_effect_route(route)

    def _find_route(self, request: CallRequest) -> Route | None:
        routes_by_name = self._contracts.configuration.routes_by_name
        return routes_by_name.get(request.route_name)

    def _is_sole_owner(self, home: ProgramHome) -> bool:
        address = self.home_address(home.program_id)
        return address is None and is_first_home(home)

    async def _run_call(
        self, request: CallRequest
    ) -> AsyncIterator[CallEvent]:
        tails = self._homes.unseal_tails(
            request.organisation_id, request.program_id, request.tail
        )
        if isinstance(tails, Err):
            yield home_failure(tails.err_value)
            return
        arrival = self._homes.add_arrival()
        home = self._homes.get_home(request.program_id)
        try:
            call_received = make_call_received(
                request, arrival.arrival_id, tails.ok_value
            )
            self._homes.apply_event(home, call_received)
            async for event in self._stream_outputs(home, arrival, request):
                yield event
        finally:
            self._homes.remove_arrival(arrival)

    async def _stream_outputs(
        self, home: ProgramHome, arrival: Arrival, request: CallRequest
    ) -> AsyncIterator[CallEvent]:
        has_run = False
        while True:
            match await arrival.outputs.get():
                case ev.RunCall():
                    has_run = True
                    chunks = self._start_call(home, request)
                    while isinstance(chunk := await chunks.get(), CallChunk):
                        yield chunk
                    if chunk is not None:
                        yield chunk
                        return
                case ev.Answer(_, record, tail):
                    sealed = self._homes.seal_tail(home, tail)
                    for event in answer_events(record, sealed, has_run):
                        yield event
                    return
                case ev.Refuse(_, error):
                    yield home_failure(error)
                    return

    def _start_call(
        self, home: ProgramHome, request: CallRequest
    ) -> asyncio.Queue[CallChunk | CallFailed | None]:
        # The call continues if its caller disconnects, so that a repeat is
        # answered from its record.
        chunks: asyncio.Queue[CallChunk | CallFailed | None] = asyncio.Queue()
        task = asyncio.create_task(self._run_to_end(home, request, chunks))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return chunks

    async def _run_to_end(
        self,
        home: ProgramHome,
        request: CallRequest,
        chunks: asyncio.Queue[CallChunk | CallFailed | None],
    ) -> None:
        call_number = request.call_number
        text = ''
        failed = make_failure(
            500, 'call_broken', 'call broke off', Execution.UNKNOWN
        )
        try:
            async with aclosing(self._run_on_server(home, request)) as events:
                async for event in events:
                    match event:
                        case CallChunk(piece):
                            text += piece
                            chunks.put_nowait(event)
                        case CallFailed():
                            failed = event
                        case CallFinished():
                            finished = self._make_turn_finished(
                                request, text, event
                            )
                            chunks.put_nowait(None)
                            self._homes.apply_event(home, finished)
                            return
        except Exception:
            LOG.exception('event=call_fault request_id=%s', request.request_id)
        chunks.put_nowait(failed)
        failed_turn = ev.TurnFailed(call_number, time.monotonic())
        self._homes.apply_event(home, failed_turn)

    def _make_turn_finished(
        self, request: CallRequest, text: str, finished: CallFinished
    ) -> ev.TurnFinished:
        routes_by_name = self._contracts.configuration.routes_by_name
        route = routes_by_name.get(request.route_name)
        is_chat = route is not None and route.kind is RouteKind.CHAT
        answer = StoredAnswer(
            is_chat,
            text.encode() if is_chat else finished.body,
            finished.prompt_tokens,
            finished.completion_tokens,
            finished.cached_tokens,
        )
        return ev.TurnFinished(
            request.call_number,
            encode_request(request),
            encode_answer(answer),
            finished.prompt_tokens + finished.completion_tokens,
            time.monotonic(),
        )

    async def _run_on_server(
        self, home: ProgramHome, request: CallRequest
    ) -> AsyncGenerator[CallEvent, None]:
        route = self._find_route(request)
        if route is None:
            yield not_run_failure(404, 'unknown_route', request.route_name)
            return
        limit = ChatLimit(DEFAULT_MAX_TOKENS, 0)
        if route.kind is RouteKind.CHAT:
            reserved = reserve_tokens(
                home, request, self._contracts.configuration
            )
            if isinstance(reserved, Err):
                yield self._refuse_over_budget(
                    home, request, reserved.err_value
                )
                return
            limit = reserved.ok_value
        events = self._pools.run(
            make_slot_request(home, request, route),
            lambda slot: self._calls.run(
                home, request, route, slot, limit, self._is_sole_owner(home)
            ),
            may_restart=route.repeatable and not request.streamed,
        )
        async with aclosing(events):
            async for event in events:
                yield event

    def _refuse_over_budget(
        self, home: ProgramHome, request: CallRequest, refusal: BudgetRefusal
    ) -> CallFailed:
        if refusal.ended:
            task = asyncio.create_task(self._end_over_budget(home, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return home_failure(ProgramEnded(END_REASONS_BY_LIMIT[refusal.limit]))

    async def _end_over_budget(
        self, home: ProgramHome, request: CallRequest
    ) -> None:
        arrival = self._homes.add_arrival()
        end_requested = ev.EndRequested(
            arrival.arrival_id,
            request.organisation_id,
            EndReason.BUDGET,
            time.monotonic(),
        )
        self._homes.apply_event(home, end_requested)
        await arrival.outputs.get()
        self._homes.remove_arrival(arrival)
