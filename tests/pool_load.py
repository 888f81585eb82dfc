"""Play programs of equal calls against a pool, step by step."""

from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import HomeRenewed
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServerState

HOME = InstanceId('home')
TICK_S = 0.05
LIMIT_S = 3.0


@dataclass(frozen=True)
class Program:
    """Describes a program whose calls follow each other."""

    name: str
    arrives_s: float
    calls: int = 1
    call_s: float = 0.1
    time_s: float = 1.0
    organisation: str = 'o'
    priority: int = 0
    weight: float = 1.0

    def demand(self, number: int, now_s: float) -> SlotDemand:
        """Return the demand of a call of the program."""
        return SlotDemand(
            RequestId(f'{self.name}.{number}'),
            HOME,
            OrganisationId(self.organisation),
            ProgramId(self.name),
            prompt_tokens=0,
            output_tokens=0,
            deadline_s=now_s + LIMIT_S,
            weight=self.weight,
            priority=self.priority,
            finish_s=self.arrives_s + self.time_s,
            begins_program=number == 0,
        )


@dataclass
class PoolRun:
    """Holds a pool and what became of the programs."""

    pool: Pool
    ended_s_by_name: dict[str, float] = field(default_factory=dict)
    refusals_by_name: dict[str, Refuse] = field(default_factory=dict)
    waits_s_by_name: dict[str, list[float]] = field(default_factory=dict)
    _events: list[tuple[float, int, Event]] = field(default_factory=list)
    _submitted_at_s_by_id: dict[RequestId, float] = field(default_factory=dict)
    _programs_by_name: dict[str, Program] = field(default_factory=dict)
    _count: int = 0
    _ticks: int = 0

    def play(self, programs: list[Program], until_s: float) -> None:
        """Add programs and play on until a time."""
        for program in programs:
            self._programs_by_name[program.name] = program
            demand = program.demand(0, program.arrives_s)
            self._add(RequestSubmitted(program.arrives_s, demand))
        for tick in range(self._ticks, int(until_s / TICK_S)):
            self._add(HomeRenewed(tick * TICK_S, HOME))
            self._add(TimePassed(tick * TICK_S))
        self._ticks = int(until_s / TICK_S)
        while self._events and self._events[0][0] <= until_s:
            now_s, _, event = heappop(self._events)
            if isinstance(event, RequestSubmitted):
                self._submitted_at_s_by_id[event.demand.request_id] = now_s
            actions = self.pool.on(event)
            if isinstance(event, Finished):
                self._continue(event)
            for action in actions:
                self._apply(action, now_s)

    def in_time(self, programs: list[Program]) -> int:
        """Return how many programs have ended in time."""
        return sum(
            self.ended_s_by_name.get(program.name, float('inf'))
            <= program.arrives_s + program.time_s
            for program in programs
        )

    def _continue(self, event: Finished) -> None:
        name, number = event.request_id.split('.')
        program = self._programs_by_name[name]
        if int(number) + 1 == program.calls:
            self.ended_s_by_name[name] = event.now_s
            return
        demand = program.demand(int(number) + 1, event.now_s)
        self._add(RequestSubmitted(event.now_s, demand))

    def _apply(self, action: Action, now_s: float) -> None:
        name = action.request_id.split('.')[0]
        match action:
            case Grant(request_id, _):
                waited_s = now_s - self._submitted_at_s_by_id[request_id]
                self.waits_s_by_name.setdefault(name, []).append(waited_s)
                end_s = now_s + self._programs_by_name[name].call_s
                self._add(Finished(end_s, request_id, 0, 0, 0))
            case Refuse():
                self.refusals_by_name[name] = action

    def _add(self, event: Event) -> None:
        self._count += 1
        heappush(self._events, (event.now_s, self._count, event))


def backend_server(
    name: str,
    slots: int,
    token_capacity: int = 0,
    state: ServerState = ServerState.LIVE,
) -> BackendServer:
    """Return a server."""
    return BackendServer(
        ServerId(name),
        DomainId('d'),
        RegionId('r'),
        '',
        'chat',
        slots=slots,
        state=state,
        token_capacity=token_capacity,
    )


def pool_run(settings: PoolSettings, slots: int) -> PoolRun:
    """Return a run of a pool with one server."""
    pool = Pool(RegionId('r'), settings)
    pool.on(ServersChanged(0.0, (backend_server('s', slots),)))
    return PoolRun(pool)
