"""Runs programs against fake servers under a routing policy."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from bench._clock import Clock
from bench._engine import FakeEngine
from bench._engine import FakeService
from bench._engine import Job
from bench._engine import PREFILL_TOKENS_PER_S
from bench._engine import STEP_PER_SEQUENCE_S
from bench._engine import STEP_S
from bench._workload import AgentsStep
from bench._workload import Deployment
from bench._workload import ModelStep
from bench._workload import ORGANISATION_SHARES
from bench._workload import PauseStep
from bench._workload import Program
from bench._workload import ServiceStep
from bench._workload import Step
from bench._workload import SYSTEM_TOKENS
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.decisions.retries import Failure
from jackdawfield.decisions.retries import GiveUp
from jackdawfield.decisions.retries import RetryBudget
from jackdawfield.decisions.retries import RetrySettings
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import Execution
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

MODEL_SLOTS = 16
SERVICE_SLOTS = 8
CACHE_TOKENS = 96_000
BYTES_PER_TOKEN = 4
REGION_BYTES_PER_S = 15_000_000 / 8
REGION_DELAY_S = 0.012
DOMAIN_DELAY_S = 0.0005
CONNECT_TIMEOUT_S = 1.0
LIST_LAG_S = 5.0
CALL_DEADLINE_S = 60.0
PATIENCE_S = 600.0


@dataclass(slots=True, eq=False)
class Call:
    """Holds one call of a program on its way to a server."""

    name: str
    run: 'ProgramRun'
    context_id: str
    pool: str
    domain: str
    prompt_tokens: int
    output_tokens: int
    service_s: float
    arrival_s: float
    inside_rate: bool
    then: Callable[[], None]
    attempt: int = 1
    avoided: set[ServerId] = field(default_factory=set)
    server: BackendServer | None = None
    job: Job | None = None
    started: bool = False
    cached_tokens: int = 0
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Passes on what becomes of a call's current job."""

    fleet: 'Fleet'
    call: Call

    def started(self, job: Job) -> None:
        """Take the first token."""
        if self.call.job is job:
            self.fleet.started(self.call, job.cached_tokens)

    def done(self, job: Job) -> None:
        """Take the end of the answer."""
        if self.call.job is job:
            self.fleet.done(self.call)

    def failed(self, job: Job, kind: FailureKind) -> None:
        """Take a failure."""
        if self.call.job is job:
            self.fleet.failed(self.call, kind)


@dataclass(slots=True, eq=False)
class ProgramRun:
    """Holds the state and the outcome of a program."""

    program: Program
    ideal_s: float
    attained_tokens: float = 0.0
    ended_s: float | None = None
    failed: bool = False


class Policy(Protocol):
    """Routes calls to servers."""

    def submit(self, call: Call) -> None:
        """Take a call that is to be dispatched or refused."""

    def started(self, call: Call) -> None:
        """Take a call's first token."""

    def finished(self, call: Call) -> None:
        """Take a call's end."""

    def failed(self, call: Call, kind: FailureKind) -> None:
        """Take a call's failure."""

    def ended(self, run: 'ProgramRun', context_id: str) -> None:
        """Take the end of a program or sub-agent."""

    def restarted(self, domain: str, instance: int) -> None:
        """Take the planned restart of an instance."""


@dataclass(slots=True)
class Bucket:
    """Tells whether a call is inside its organisation's contract."""

    rate_per_s: float
    burst: float
    tokens: float
    filled_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take a token if there is one."""
        gained = (now_s - self.filled_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class Counts:
    """Counts what a run cost."""

    calls: int = 0
    wasted_tokens: int = 0
    refused: int = 0
    refused_inside: int = 0
    not_run: int = 0
    failures: int = 0
    region_bytes: int = 0


class Fleet:
    """Holds servers, links and running programs of one deployment."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.clock = Clock()
        self.deployment = deployment
        self.servers_by_id: dict[ServerId, BackendServer] = {}
        self.hosts_by_id: dict[ServerId, FakeEngine | FakeService] = {}
        self.listed_ids: set[ServerId] = set()
        self.cut_domains: set[str] = set()
        self.store_down = False
        self.counts = Counts()
        self.runs: list[ProgramRun] = []
        self.open_programs = 0
        self.policy: Policy
        self._cached_ever: dict[str, int] = {}
        self._link_free_s: dict[str, float] = {}
        self._calls = 0
        self._retries = RetryBudget(RetrySettings(), seed)
        self._regions = {d.name: d.region for d in deployment.domains}
        nominal = deployment.nominal_calls_per_s()
        self._buckets = [
            Bucket(share * nominal, 5 + 5 * share * nominal, 5.0)
            for share in ORGANISATION_SHARES
        ]
        for domain in deployment.domains:
            for number in range(domain.models):
                self._add('chat', domain.name, number)
            for number in range(domain.services):
                self._add('orders', domain.name, number)

    def region(self, domain: str) -> str:
        """Return a domain's region."""
        return self._regions[domain]

    def pool_servers(self, pool: str) -> list[BackendServer]:
        """Return a pool's servers that the platform lists."""
        return [
            server
            for server_id, server in self.servers_by_id.items()
            if server.pool == pool and server_id in self.listed_ids
        ]

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether two domains cannot reach each other."""
        if first == second:
            return False
        return first in self.cut_domains or second in self.cut_domains

    def start(self, program: Program) -> None:
        """Start a program."""
        run = ProgramRun(program, _ideal_s(program.steps, SYSTEM_TOKENS))
        self.runs.append(run)
        self.clock.after(program.arrival_s, self._begin, run)
        self.open_programs += 1

    def dispatch(self, call: Call, server: BackendServer) -> None:
        """Send a call to a server."""
        call.server = server
        call.started = False
        call.cached_tokens = 0
        delay_s = DOMAIN_DELAY_S
        if self.is_cut(call.domain, server.domain_id):
            kind = FailureKind.UNREACHABLE
            call.job = None
            self.clock.after(CONNECT_TIMEOUT_S, self.failed, call, kind)
            return
        if self.region(call.domain) != server.region_id:
            size = (call.prompt_tokens + call.output_tokens) * BYTES_PER_TOKEN
            delay_s = self._cross(self.region(call.domain), size)
        job = Job(
            context_id=call.context_id,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            service_s=call.service_s,
            listener=Attempt(self, call),
        )
        call.job = job
        host = self.hosts_by_id[server.server_id]
        self.clock.after(delay_s, host.submit, job)

    def recall(self, call: Call) -> None:
        """Cancel a call on its server and submit it again."""
        if call.job is None or call.server is None:
            return
        self.hosts_by_id[call.server.server_id].cancel(call.job)
        call.job = None
        call.avoided.add(call.server.server_id)
        call.attempt += 1
        self.policy.submit(call)

    def refuse(self, call: Call, retry_after_s: float) -> None:
        """Refuse a call, which its caller tries again later."""
        self.counts.refused += 1
        self.counts.refused_inside += call.inside_rate
        program = call.run.program
        if self.clock.now_s - program.arrival_s > PATIENCE_S:
            self._end(call.run, failed=True)
            return
        call.deadline_s = self.clock.now_s + retry_after_s + CALL_DEADLINE_S
        self.clock.after(retry_after_s, self.policy.submit, call)

    def kill(self, server_id: ServerId) -> None:
        """Kill an engine; the platform's list follows later."""
        host = self.hosts_by_id[server_id]
        if isinstance(host, FakeEngine):
            host.die()
        self.clock.after(LIST_LAG_S, self.listed_ids.discard, server_id)

    def revive(self, server_id: ServerId) -> None:
        """Start an engine again with an empty cache."""
        host = self.hosts_by_id[server_id]
        if isinstance(host, FakeEngine):
            host.alive = True
        self.clock.after(LIST_LAG_S, self.listed_ids.add, server_id)

    def _add(self, pool: str, domain: str, number: int) -> None:
        server_id = ServerId(f'{domain}-{pool}-{number}')
        chat = pool == 'chat'
        slots = MODEL_SLOTS if chat else SERVICE_SLOTS
        self.servers_by_id[server_id] = BackendServer(
            server_id,
            DomainId(domain),
            RegionId(self.region(domain)),
            '',
            pool,
            slots,
            CACHE_TOKENS if chat else 0,
        )
        if chat:
            engine = FakeEngine(self.clock, slots, CACHE_TOKENS)
            self.hosts_by_id[server_id] = engine
        else:
            self.hosts_by_id[server_id] = FakeService(self.clock, slots)
        self.listed_ids.add(server_id)

    def _cross(self, region: str, size: int) -> float:
        self.counts.region_bytes += size
        now_s = self.clock.now_s
        free_s = max(now_s, self._link_free_s.get(region, 0.0))
        self._link_free_s[region] = free_s + size / REGION_BYTES_PER_S
        return self._link_free_s[region] - now_s + 2 * REGION_DELAY_S

    def _begin(self, run: ProgramRun) -> None:
        name = run.program.name
        self._step(run, name, run.program.steps, 0, SYSTEM_TOKENS, None)

    def _step(
        self,
        run: ProgramRun,
        context_id: str,
        steps: tuple[Step, ...],
        index: int,
        history: int,
        then: Callable[[], None] | None,
    ) -> None:
        if run.ended_s is not None:
            return
        if index == len(steps):
            if then is None:
                self._end(run, failed=False)
                return
            self.policy.ended(run, context_id)
            then()
            return
        step = steps[index]

        def proceed(new_history: int = history) -> None:
            self._step(run, context_id, steps, index + 1, new_history, then)

        match step:
            case PauseStep(pause_s):
                self.clock.after(pause_s, proceed)
            case ModelStep(new_tokens, output_tokens):
                prompt = history + new_tokens
                total = prompt + output_tokens
                self._call(
                    run,
                    context_id,
                    'chat',
                    prompt,
                    output_tokens,
                    0.0,
                    lambda: proceed(total),
                )
            case ServiceStep(service_s):
                if self.store_down:
                    self.counts.not_run += 1
                    self._end(run, failed=False)
                    return
                self._call(
                    run, context_id, 'orders', 0, 20, service_s, proceed
                )
            case AgentsStep(agents):
                left = [len(agents)]

                def joined() -> None:
                    left[0] -= 1
                    if not left[0]:
                        proceed()

                for number, agent in enumerate(agents):
                    name = f'{context_id}.{index}.{number}'
                    self._step(run, name, agent, 0, SYSTEM_TOKENS, joined)

    def _call(
        self,
        run: ProgramRun,
        context_id: str,
        pool: str,
        prompt_tokens: int,
        output_tokens: int,
        service_s: float,
        then: Callable[[], None],
    ) -> None:
        now_s = self.clock.now_s
        self._calls += 1
        self.counts.calls += 1
        program = run.program
        call = Call(
            name=f'{self._calls}',
            run=run,
            context_id=context_id,
            pool=pool,
            domain=program.domain,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            service_s=service_s,
            arrival_s=now_s,
            inside_rate=self._buckets[program.organisation].take(now_s),
            then=then,
            deadline_s=now_s + CALL_DEADLINE_S,
        )
        self.policy.submit(call)

    def started(self, call: Call, cached: int) -> None:
        """Count a call's first token."""
        call.started = True
        call.cached_tokens = cached
        if call.pool == 'chat':
            before = self._cached_ever.get(call.context_id, 0)
            known = min(before, call.prompt_tokens)
            self.counts.wasted_tokens += max(0, known - cached)
            self._cached_ever[call.context_id] = call.prompt_tokens
        self.policy.started(call)

    def done(self, call: Call) -> None:
        """Take a call's end and go on with its program."""
        call.job = None
        missing = call.prompt_tokens - call.cached_tokens
        call.run.attained_tokens += missing * 0.05 + call.output_tokens
        total = call.prompt_tokens + call.output_tokens
        if call.pool == 'chat':
            self._cached_ever[call.context_id] = total
        self._retries.record_success()
        self.policy.finished(call)
        call.then()

    def failed(self, call: Call, kind: FailureKind) -> None:
        """Try a failed call again if the retry budget allows it."""
        self.counts.failures += 1
        call.job = None
        if call.server is not None:
            call.avoided.add(call.server.server_id)
        self.policy.failed(call, kind)
        failure = Failure(
            call.name,
            call.attempt,
            Execution.UNKNOWN,
            call.pool == 'chat',
            call.deadline_s,
        )
        now_s = self.clock.now_s
        decision = self._retries.decide(failure, now_s)
        if isinstance(decision, GiveUp):
            self._end(call.run, failed=True)
            return
        call.attempt += 1
        self.clock.after(decision.at_s - now_s, self.policy.submit, call)

    def _end(self, run: ProgramRun, failed: bool) -> None:
        if run.ended_s is not None:
            return
        run.ended_s = self.clock.now_s
        run.failed = failed
        self.open_programs -= 1
        self.policy.ended(run, run.program.name)


def _ideal_s(steps: tuple[Step, ...], history: int) -> float:
    total_s = 0.0
    cached = 0
    for step in steps:
        match step:
            case PauseStep(pause_s):
                total_s += pause_s
            case ServiceStep(service_s):
                total_s += service_s
            case ModelStep(new_tokens, output_tokens):
                history += new_tokens
                total_s += (history - cached) / PREFILL_TOKENS_PER_S
                total_s += output_tokens * (STEP_S + STEP_PER_SEQUENCE_S)
                history += output_tokens
                cached = history
            case AgentsStep(agents):
                total_s += max(_ideal_s(a, SYSTEM_TOKENS) for a in agents)
    return total_s
