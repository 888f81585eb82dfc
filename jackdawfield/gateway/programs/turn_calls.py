"""Serve turns: read their chain, reserve their budget, write their record."""

import asyncio
import logging
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.calls import Stage
from jackdawfield.gateway.http.connection import BodyEnd
from jackdawfield.gateway.http.listener import Reply
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.chains import TurnNotFound
from jackdawfield.gateway.programs.chains import TurnUnavailable
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.gateway.programs.turn_store import Verdict
from jackdawfield.gateway.programs.turns import build_prompt
from jackdawfield.gateway.programs.turns import program_key
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.dispatch import ResponseStream
from jackdawfield.gateway.streams.events import EventReader
from jackdawfield.logs import log_event
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
STATUS_OK = 200
# Retry-After of a refusal while the store does not answer.
STORE_RETRY_S = 0.4
# Limit for writing back the unused tokens of a turn that failed.
SETTLE_TIMEOUT_S = 10.0


class _Turn:
    """Holds the state of one turn in progress."""

    def __init__(self, call: Call, program: ProgramKey) -> None:
        self.call = call
        self.program = program
        self.chain: tuple[TurnRecord, ...] = ()
        self.reservation: asyncio.Task[Verdict] | None = None
        self.event_reader = EventReader()
        self.is_settled = False
        self.forwarded_bytes = 0
        self.is_complete = False
        self.first_piece_s = 0.0

    def record_piece(self, piece: bytes) -> None:
        """Record a piece of the response that is forwarded to the caller."""
        self.event_reader.feed(piece)
        self.forwarded_bytes += len(piece)

    @property
    def parent(self) -> TurnRecord | None:
        """Return the turn that this one continues, None if it is the first."""
        return self.chain[-1] if self.chain else None


class TurnCalls:
    """Serves the calls of routes that store turns."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        chains: ChainReader,
        turns: TurnStore,
        admission: Admission,
        metrics: GatewayMetrics,
    ) -> None:
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._admission = admission
        self._chains = chains
        self._turns = turns
        self._tasks = BackgroundTasks()
        self.configuration: FleetConfiguration | None = None

    async def serve(
        self, call: Call, service: ServiceName, reply: Reply
    ) -> Refusal | Failure | None:
        """Serve a turn, or return the refusal or failure to send instead."""
        headers = call.headers
        program = program_key(
            call.organisation_id, headers.program_id or call.request_id
        )
        turn = _Turn(call, program)
        if headers.previous_turn is not None:
            reply.stage = Stage.CHAIN
            refusal = await self._read_chain(turn, headers.previous_turn)
            if refusal is not None:
                return refusal
        try:
            reply.stage = Stage.BUDGET
            # The budget comes first: a turn over it takes no rate token.
            refusal = await self._begin_reservation(turn)
            if refusal is not None:
                return refusal
            reply.stage = Stage.RATE
            with self._metrics.time_admission(call):
                refusal = await self._admission.admit(call)
            if refusal is not None:
                return refusal
            outcome = await self._run(turn, service, reply)
            if isinstance(outcome, Refusal):
                self._admission.return_token(call)
            return outcome
        finally:
            self._settle_unfinished(turn, service)

    async def _read_chain(
        self, turn: _Turn, previous: TurnId
    ) -> Refusal | None:
        call = turn.call
        refresh_task: asyncio.Task[None] | None = None
        if not self._chains.is_cached(call.organisation_id, previous):
            # The instance that served that turn also raised the ledger.
            refresh_task = asyncio.create_task(
                self._turns.refresh(turn.program)
            )
        found = await self._chains.read_chain(
            call.organisation_id, turn.program, previous
        )
        if refresh_task is not None:
            await refresh_task
        match found:
            case Chain(records):
                turn.chain = records
                return None
            case TurnNotFound():
                return Refusal(404, 'no such turn')
            case TurnUnavailable(reason):
                text = f'turn not readable now: {reason}'
                return Refusal(503, text, STORE_RETRY_S)

    async def _begin_reservation(self, turn: _Turn) -> Refusal | None:
        headers = turn.call.headers
        budget = headers.budget_tokens
        if budget is None:
            return None
        tokens = headers.max_tokens
        begins = headers.previous_turn is None
        is_likely = self._turns.is_likely_to_fit(
            turn.program, tokens, budget, begins
        )
        turn.reservation = asyncio.create_task(
            self._turns.reserve(
                turn.program, tokens, budget, turn.call.deadline_s
            )
        )
        # The server reads the prompt while the reservation is written. One
        # that may be refused is awaited first, since a 402 answer promises
        # that the call has not run.
        if is_likely:
            return None
        match await asyncio.shield(turn.reservation):
            case Verdict.SPENT:
                return Refusal(402, 'token budget spent')
            case Verdict.UNKNOWN:
                return Refusal(503, 'budget not readable now', STORE_RETRY_S)
        return None

    async def _run(
        self, turn: _Turn, service: ServiceName, reply: Reply
    ) -> Refusal | Failure | None:
        parent = turn.parent
        prompt = build_prompt(turn.chain, turn.call.body)
        reply.stage = Stage.SERVER
        response = await self._dispatcher.start(
            turn.call, service, prompt, parent.server_id if parent else None
        )
        if not isinstance(response, ResponseStream):
            return response
        server_id = response.server.entry.server_id
        end: BodyEnd | None = None
        try:
            reply.stage = Stage.BUDGET
            if not await self._await_reservation(turn):
                return Failure(502, 'budget not reserved in time')
            reply.stage = Stage.ANSWER
            reply.set_head(response.head)

            async def write(piece: bytes) -> bool:
                turn.record_piece(piece)
                return await reply.write(piece)

            end = await response.forward_body(write)
        finally:
            self._dispatcher.release(response, end)
        if end is not BodyEnd.WHOLE:
            return reply.end_incomplete(end)
        turn.is_complete = True
        turn.first_piece_s = response.first_piece_s or 0.0
        self._metrics.record_first_piece(turn.call, turn.first_piece_s)
        if response.head.status == STATUS_OK:
            reply.stage = Stage.COMMIT
            if not await self._commit(turn, service, server_id):
                reply.abort()
                return None
        reply.finish()
        return None

    async def _await_reservation(self, turn: _Turn) -> bool:
        if turn.reservation is None:
            return True
        return await asyncio.shield(turn.reservation) is Verdict.FITS

    async def _commit(
        self, turn: _Turn, service: ServiceName, server_id: ServerId
    ) -> bool:
        call = turn.call
        parent = turn.parent
        record = TurnRecord(
            turn_id=TurnId(call.request_id),
            organisation_id=call.organisation_id,
            program=turn.program.text,
            parent_program=parent.program if parent else None,
            parent_id=parent.turn_id if parent else None,
            given=call.body,
            answered=turn.event_reader.text,
            server_id=server_id,
            kept_until_s=time.time() + call.route.retention_s,
        )
        turn.is_settled = True
        settlement = self._settlement(turn, service)
        started_s = time.monotonic()
        kept = await self._turns.commit(
            turn.program, record, settlement, call.deadline_s
        )
        self._metrics.record_commit(call, time.monotonic() - started_s)
        log_event(
            LOG,
            'turn_kept' if kept else 'turn_not_kept',
            logging.INFO if kept else logging.WARNING,
            request=call.request_id,
            program=turn.program.text,
            depth=len(turn.chain),
            server=server_id,
            first_ms=round(turn.first_piece_s * 1000),
            prompt=call.headers.prompt_tokens,
            granted=self._turns.granted_tokens(turn.program),
            budget=call.headers.budget_tokens,
            most=call.headers.max_tokens,
        )
        return kept

    def _settlement(self, turn: _Turn, service: ServiceName) -> Settle | None:
        headers = turn.call.headers
        if turn.reservation is None or headers.budget_tokens is None:
            return None
        reserved = headers.max_tokens
        used = self._tokens_used(turn, service, reserved)
        return Settle(reserved, min(used, reserved), headers.budget_tokens)

    def _tokens_used(
        self, turn: _Turn, service: ServiceName, reserved_tokens: int
    ) -> int:
        if not turn.forwarded_bytes:
            return 0
        found = None
        if self.configuration is not None:
            found = self.configuration.services_by_name.get(service)
        if found is None or not found.tokens_per_event:
            return reserved_tokens
        # A stream that was cut may have ended within one more event.
        events = len(turn.event_reader.events) + (0 if turn.is_complete else 1)
        return events * found.tokens_per_event

    def _settle_unfinished(self, turn: _Turn, service: ServiceName) -> None:
        if turn.is_settled or turn.reservation is None:
            return
        turn.is_settled = True
        event = self._settlement(turn, service)
        if event is None:
            return
        self._tasks.spawn(self._settle_later(turn, event))

    async def _settle_later(self, turn: _Turn, event: Settle) -> None:
        assert turn.reservation is not None
        verdict = await turn.reservation
        if verdict is not Verdict.FITS:
            return
        await self._turns.settle(
            turn.program, event, time.monotonic() + SETTLE_TIMEOUT_S
        )
