"""Runs the calls of programs at their home."""

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
from jackdawfield.drivers.budgets import reserve
from jackdawfield.drivers.contracts import ContractsDriver
from jackdawfield.drivers.effect_calls import EffectCalls
from jackdawfield.drivers.homes import Arrival
from jackdawfield.drivers.homes import HomesDriver
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.pools import PoolsDriver
from jackdawfield.drivers.program_errors import home_failure
from jackdawfield.drivers.program_records import begun_here
from jackdawfield.drivers.program_records import FIRST_EPOCH
from jackdawfield.drivers.program_records import present
from jackdawfield.drivers.program_records import recorded
from jackdawfield.drivers.program_records import slot_request
from jackdawfield.drivers.server_calls import is_effect
from jackdawfield.drivers.server_calls import not_run
from jackdawfield.drivers.server_calls import ServerCalls
from jackdawfield.errors import failure
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
REASONS_BY_LIMIT = {
    Limit.BUDGET: EndReason.BUDGET,
    Limit.TURNS: EndReason.TURN_LIMIT,
    Limit.DEADLINE: EndReason.DEADLINE,
}
LOG = logging.getLogger(__name__)


class ProgramsDriver:
    """Keeps the programs whose home this instance is."""

    def __init__(
        self,
        settings: Settings,
        contracts: ContractsDriver,
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
        self._runs: set[asyncio.Task[None]] = set()

    def register(self, server: PeerServer) -> None:
        """Answer the messages of entries."""
        server.handle_stream(CallRequest, self.run_call)
        server.handle(CreateProgram, self.create)
        server.handle(EndProgram, self.end)

    def home_address(self, program_id: ProgramId) -> str | None:
        """Return the home's address, None if it is this instance."""
        members_by_id = self._contracts.members_by_id
        found = find_home(program_id, members_by_id)
        if found is None or found == self._own_id:
            return None
        return members_by_id[found].peer_address

    async def create(
        self, request: CreateProgram
    ) -> ProgramAnswer | CallFailed:
        """Begin a program."""
        known = self._homes.home(request.program_id)
        if known.ownership is not OwnershipState.CLOSED:
            return ProgramAnswer(request.program_id, 'running')
        arrival = self._homes.arrival()
        row = ProgramRow(
            request.program_id,
            request.organisation_id,
            request.template_name,
            FIRST_EPOCH,
            Incarnation(''),
            time.time(),
            parent_id=ProgramId(request.parent_id) or None,
        )
        begin = ev.BeginRequested(arrival.arrival_id, row, time.monotonic())
        self._homes.on(known, begin)
        output = await arrival.outputs.get()
        self._homes.forget(arrival)
        match output:
            case ev.ConfirmBegin(_, tail):
                sealed = self._homes.seal_tail(known, tail)
                return ProgramAnswer(
                    request.program_id, 'running', tail=sealed
                )
            case ev.Refuse(_, error):
                return home_failure(error)
        return home_failure(ev.Moved())

    async def end(self, request: EndProgram) -> ProgramAnswer | CallFailed:
        """End a program."""
        known = self._homes.home(request.program_id)
        arrival = self._homes.arrival()
        event = ev.EndRequested(
            arrival.arrival_id,
            request.organisation_id,
            EndReason.REQUESTED,
            time.monotonic(),
        )
        self._homes.on(known, event)
        output = await arrival.outputs.get()
        self._homes.forget(arrival)
        match output:
            case ev.Refuse(_, error):
                return home_failure(error)
        self._record_latency(known)
        self._pools.ended(request.program_id)
        return ProgramAnswer(request.program_id, 'ended')

    def _record_latency(self, known: ProgramHome) -> None:
        if known.row is None:
            return
        now_s = time.time()
        self._metrics.record(
            Metric.PROGRAM_LATENCY,
            known.row.organisation_id,
            known.row.template_name,
            (now_s - known.row.started_unix_s) * MS_PER_S,
            now_s,
        )

    async def run_call(self, request: CallRequest) -> AsyncIterator[CallEvent]:
        """Run one call in its program's order and yield its answer."""
        if self.is_open(request):
            alone = ProgramHome(request.program_id, Incarnation(''))
            async for event in self._run(alone, request):
                yield event
            return
        known = self._homes.home(request.program_id)
        async for event in self._run_call(request):
            if self.is_effect(request):
                here = self._never_moved(known)
                event = self._effects.certain(request, here, event)
            yield event

    def is_open(self, request: CallRequest) -> bool:
        """Return whether a call's route is open to all."""
        route = self._route(request)
        return route is not None and route.open

    def is_effect(self, request: CallRequest) -> bool:
        """Return whether a call may not be repeated."""
        route = self._route(request)
        return route is not None and is_effect(route)

    def _route(self, request: CallRequest) -> Route | None:
        routes_by_name = self._contracts.configuration.routes_by_name
        return routes_by_name.get(request.route_name)

    def _never_moved(self, known: ProgramHome) -> bool:
        address = self.home_address(known.program_id)
        return address is None and begun_here(known)

    async def _run_call(
        self, request: CallRequest
    ) -> AsyncIterator[CallEvent]:
        tails = self._homes.open_tails(
            request.organisation_id, request.program_id, request.tail
        )
        if isinstance(tails, Err):
            yield home_failure(tails.err_value)
            return
        arrival = self._homes.arrival()
        known = self._homes.home(request.program_id)
        try:
            presented = present(request, arrival.arrival_id, tails.ok_value)
            self._homes.on(known, presented)
            async for event in self._follow(known, arrival, request):
                yield event
        finally:
            self._homes.forget(arrival)

    async def _follow(
        self, known: ProgramHome, arrival: Arrival, request: CallRequest
    ) -> AsyncIterator[CallEvent]:
        ran = False
        while True:
            match await arrival.outputs.get():
                case ev.RunCall():
                    ran = True
                    pieces = self._start(known, request)
                    while isinstance(piece := await pieces.get(), CallChunk):
                        yield piece
                    if piece is not None:
                        yield piece
                        return
                case ev.Answer(_, record, tail):
                    sealed = self._homes.seal_tail(known, tail)
                    for event in recorded(record, sealed, ran):
                        yield event
                    return
                case ev.Refuse(_, error):
                    yield home_failure(error)
                    return

    def _start(
        self, known: ProgramHome, request: CallRequest
    ) -> asyncio.Queue[CallChunk | CallFailed | None]:
        # A call goes on when its caller leaves: a repeat finds its record.
        pieces: asyncio.Queue[CallChunk | CallFailed | None] = asyncio.Queue()
        task = asyncio.create_task(self._run_whole(known, request, pieces))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return pieces

    async def _run_whole(
        self,
        known: ProgramHome,
        request: CallRequest,
        pieces: asyncio.Queue[CallChunk | CallFailed | None],
    ) -> None:
        number = request.call_number
        text = ''
        failed = failure(
            500, 'call_broken', 'call broke off', Execution.UNKNOWN
        )
        try:
            async with aclosing(self._run(known, request)) as events:
                async for event in events:
                    match event:
                        case CallChunk(piece):
                            text += piece
                            pieces.put_nowait(event)
                        case CallFailed():
                            failed = event
                        case CallFinished():
                            finished = self._turn_finished(
                                request, text, event
                            )
                            pieces.put_nowait(None)
                            self._homes.on(known, finished)
                            return
        except Exception:
            LOG.exception('event=call_fault request_id=%s', request.request_id)
        pieces.put_nowait(failed)
        failed_turn = ev.TurnFailed(number, time.monotonic())
        self._homes.on(known, failed_turn)

    def _turn_finished(
        self, request: CallRequest, text: str, finished: CallFinished
    ) -> ev.TurnFinished:
        routes = self._contracts.configuration.routes_by_name
        route = routes.get(request.route_name)
        chat = route is not None and route.kind is RouteKind.CHAT
        answer = StoredAnswer(
            chat,
            text.encode() if chat else finished.body,
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

    async def _run(
        self, known: ProgramHome, request: CallRequest
    ) -> AsyncGenerator[CallEvent, None]:
        route = self._route(request)
        if route is None:
            yield not_run(404, 'unknown_route', request.route_name)
            return
        limit = ChatLimit(DEFAULT_MAX_TOKENS, 0)
        if route.kind is RouteKind.CHAT:
            reserved = reserve(known, request, self._contracts.configuration)
            if isinstance(reserved, Err):
                yield self._over_budget(known, request, reserved.err_value)
                return
            limit = reserved.ok_value
        events = self._pools.run(
            slot_request(known, request, route),
            lambda slot: self._calls.run(
                known, request, route, slot, limit, self._never_moved(known)
            ),
            may_restart=route.repeatable and not request.streamed,
        )
        async with aclosing(events):
            async for event in events:
                yield event

    def _over_budget(
        self, known: ProgramHome, request: CallRequest, refusal: BudgetRefusal
    ) -> CallFailed:
        if refusal.ended:
            task = asyncio.create_task(self._end_spent(known, request))
            self._runs.add(task)
            task.add_done_callback(self._runs.discard)
        return home_failure(ProgramEnded(REASONS_BY_LIMIT[refusal.limit]))

    async def _end_spent(
        self, known: ProgramHome, request: CallRequest
    ) -> None:
        arrival = self._homes.arrival()
        event = ev.EndRequested(
            arrival.arrival_id,
            request.organisation_id,
            EndReason.BUDGET,
            time.monotonic(),
        )
        self._homes.on(known, event)
        await arrival.outputs.get()
        self._homes.forget(arrival)
