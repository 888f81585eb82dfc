"""Serve streams: their chain of turns, their budget and their record."""

import asyncio
import logging
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.event_stream import StreamEvent
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.calls import Stage
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.reply import Reply
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.advances import Advances
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.chains import TurnNotFound
from jackdawfield.gateway.programs.chains import TurnUnavailable
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.retention import ExpiringRows
from jackdawfield.gateway.programs.spending import Spending
from jackdawfield.gateway.programs.spending import STORE_RETRY_S
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.gateway.programs.turns import build_prompt
from jackdawfield.gateway.programs.turns import program_key
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.dispatch import SentCall
from jackdawfield.gateway.streams.relay import Relayed
from jackdawfield.gateway.streams.relay import stream_limits
from jackdawfield.gateway.streams.relay import StreamRelay
from jackdawfield.gateway.work_slices import WorkSlices
from jackdawfield.logs import log_event
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
STATUS_OK = 200


class _StreamCall:
    """Holds the state of one stream in progress."""

    def __init__(
        self, call: Call, program: ProgramKey, spending: Spending
    ) -> None:
        self.call = call
        self.program = program
        self.spending = spending
        self.chain: tuple[TurnRecord, ...] = ()
        # The data of the events of a turn, a line feed after each.
        self.answered = bytearray()

    async def record_events(self, events: tuple[StreamEvent, ...]) -> bool:
        """Record events; return whether they may be passed to the caller."""
        with_data = [event for event in events if event.data is not None]
        if not await self.spending.hand_over(len(with_data)):
            return False
        if self.call.route.keeps_turns:
            for event in with_data:
                self.answered += event.data or b''
                self.answered += b'\n'
        return True

    @property
    def parent(self) -> TurnRecord | None:
        """Return the turn that this one continues, None if it is the first."""
        return self.chain[-1] if self.chain else None


class StreamCalls:
    """Serves the calls of streaming routes."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        chains: ChainReader,
        turns: TurnStore,
        accounts: ProgramAccounts,
        advances: Advances,
        expiry: RowExpiry,
        admission: Admission,
        metrics: GatewayMetrics,
        slices: WorkSlices,
    ) -> None:
        self._slices = slices
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._admission = admission
        self._chains = chains
        self._turns = turns
        self._accounts = accounts
        self._advances = advances
        self._expiry = expiry
        self._tasks = BackgroundTasks()
        self.configuration: FleetConfiguration | None = None

    async def serve(
        self, call: Call, service: ServiceName, reply: Reply
    ) -> Refusal | Failure | None:
        """Serve a stream, or return the refusal or failure to send instead."""
        stream = self._begin(call, service)
        previous = call.headers.previous_turn
        if call.route.keeps_turns and previous is not None:
            reply.stage = Stage.CHAIN
            refusal = await self._read_chain(stream, previous)
            if refusal is not None:
                return refusal
        try:
            reply.stage = Stage.BUDGET
            # The budget comes first: a turn over it takes no rate token.
            refusal = await stream.spending.begin()
            if refusal is not None:
                return refusal
            reply.stage = Stage.RATE
            with self._metrics.time_admission(call):
                refusal = await self._admission.admit(call)
            if refusal is not None:
                return refusal
            outcome = await self._run(stream, service, reply)
            if isinstance(outcome, Refusal):
                self._admission.return_token(call)
            return outcome
        finally:
            stream.spending.end()

    def _begin(self, call: Call, service: ServiceName) -> _StreamCall:
        headers = call.headers
        program = program_key(
            call.organisation_id, headers.program_id or call.request_id
        )
        if (
            headers.budget_tokens is not None
            and not call.route.keeps_turns
            and self._accounts.is_new(program)
        ):
            self._expiry.add(ExpiringRows(program, (), call.route.retention_s))
        spending = Spending(
            self._accounts,
            self._advances,
            self._tasks,
            program,
            call,
            self._tokens_per_event(service),
        )
        return _StreamCall(call, program, spending)

    def _tokens_per_event(self, service: ServiceName) -> int:
        """Return the tokens of each event of a service, 0 if unknown."""
        if self.configuration is None:
            return 0
        found = self.configuration.services_by_name.get(service)
        return found.tokens_per_event if found is not None else 0

    async def _read_chain(
        self, stream: _StreamCall, previous: TurnId
    ) -> Refusal | None:
        call = stream.call
        refresh_task: asyncio.Task[None] | None = None
        if not self._chains.is_cached(call.organisation_id, previous):
            # The instance that served that turn also raised the ledger.
            refresh_task = asyncio.create_task(
                self._accounts.refresh(stream.program)
            )
        found = await self._chains.read_chain(
            call.organisation_id, stream.program, previous
        )
        if refresh_task is not None:
            if isinstance(found, Chain) and found.is_copy:
                # The instance that had the chain has sent its ledger row too.
                refresh_task.cancel()
            else:
                await refresh_task
        match found:
            case Chain(records):
                stream.chain = records
                return None
            case TurnNotFound():
                return Refusal(404, 'no such turn')
            case TurnUnavailable(reason):
                text = f'turn not readable now: {reason}'
                return Refusal(503, text, STORE_RETRY_S)

    async def _run(
        self, stream: _StreamCall, service: ServiceName, reply: Reply
    ) -> Refusal | Failure | None:
        call = stream.call
        parent = stream.parent
        prompt = build_prompt(stream.chain, call.body)
        reply.stage = Stage.SLOT
        sent = await self._dispatcher.start(
            call,
            service,
            prompt,
            parent.server_id if parent else None,
            reply.record_sent,
        )
        if not isinstance(sent, SentCall):
            return sent
        is_relayed = False
        try:
            reply.stage = Stage.RESERVATION
            if not await stream.spending.wait_until_reserved():
                return Failure(502, 'budget not reserved in time')
            reply.stage = Stage.ANSWER
            is_relayed = True
            relayed = await self._relay(stream, service, sent, reply)
        finally:
            if not is_relayed:
                self._dispatcher.release(sent.response, None)
        return await self._end(stream, relayed, reply)

    async def _relay(
        self,
        stream: _StreamCall,
        service: ServiceName,
        sent: SentCall,
        reply: Reply,
    ) -> Relayed:
        head = sent.response.head
        # The stream may be resumed with another length, and its turn has to
        # be kept before it is whole.
        reply.set_head(head, withholds_end=head.status == STATUS_OK)

        async def write(data: bytes, events: tuple[StreamEvent, ...]) -> bool:
            if not await stream.record_events(events):
                log_event(
                    LOG,
                    'tokens_not_reserved',
                    logging.WARNING,
                    request=stream.call.request_id,
                    program=stream.program.text,
                )
                return False
            return await reply.write(data)

        limits = stream_limits(stream.call, self._tokens_per_event(service))
        relay = StreamRelay(
            self._dispatcher, sent, limits, write, self._slices
        )
        return await relay.run()

    async def _end(
        self, stream: _StreamCall, relayed: Relayed, reply: Reply
    ) -> Failure | None:
        call = stream.call
        if relayed.end in (None, BodyEnd.CUT):
            if relayed.reason:
                log_event(
                    LOG,
                    'stream_failed',
                    logging.WARNING,
                    request=call.request_id,
                    server=relayed.sent.response.server.entry.server_id,
                    reason=relayed.reason,
                )
            return reply.end_incomplete(relayed.end)
        self._metrics.record_first_piece(call, relayed.first_piece_s)
        succeeded = relayed.sent.response.head.status == STATUS_OK
        if call.route.keeps_turns and succeeded:
            reply.stage = Stage.COMMIT
            if not await self._commit(stream, relayed):
                self._metrics.count_reason(call.route.name, 0, 'turn not kept')
                reply.abort()
                return None
        reply.finish()
        return None

    async def _commit(self, stream: _StreamCall, relayed: Relayed) -> bool:
        call = stream.call
        parent = stream.parent
        server_id = relayed.sent.response.server.entry.server_id
        record = TurnRecord(
            turn_id=TurnId(call.request_id),
            organisation_id=call.organisation_id,
            program=stream.program.text,
            parent_program=parent.program if parent else None,
            parent_id=parent.turn_id if parent else None,
            given=call.body,
            answered=bytes(stream.answered),
            server_id=server_id,
            kept_until_s=time.time() + call.route.retention_s,
        )
        started_s = time.monotonic()
        kept = await self._turns.commit(
            stream.program,
            record,
            stream.spending.settle(),
            call.deadline_s,
            stream.chain,
        )
        self._metrics.record_commit(call, time.monotonic() - started_s)
        log_event(
            LOG,
            'turn_kept' if kept else 'turn_not_kept',
            logging.INFO if kept else logging.WARNING,
            request=call.request_id,
            organisation=call.organisation_id,
            previous_turn=call.headers.previous_turn,
            program=stream.program.text,
            depth=len(stream.chain),
            server=server_id,
            framing=relayed.sent.response.head.framing.value,
            first_ms=round(relayed.first_piece_s * 1000),
            prompt=call.headers.prompt_tokens,
            granted=self._accounts.granted_tokens(stream.program),
            budget=call.headers.budget_tokens,
            most=call.headers.max_tokens,
        )
        return kept
