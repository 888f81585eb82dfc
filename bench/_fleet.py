"""Run programs against simulated servers under a routing policy."""

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
REGION_LINK_BYTES_PER_S = 15_000_000 / 8
REGION_DELAY_S = 0.012
DOMAIN_DELAY_S = 0.0005
CONNECT_TIMEOUT_S = 1.0
DISCOVERY_LAG_S = 5.0
CALL_DEADLINE_S = 60.0
PROGRAM_TIMEOUT_S = 600.0


@dataclass(slots=True, eq=False)
class Call:
    """Represents one call of a program and its current attempt."""

    name: str
    run: 'ProgramRun'
    context_id: str
    pool: str
    domain: str
    prompt_tokens: int
    output_tokens: int
    service_s: float
    arrival_s: float
    is_within_rate: bool
    on_done: Callable[[], None]
    attempt: int = 1
    avoided: set[ServerId] = field(default_factory=set)
    server: BackendServer | None = None
    job: Job | None = None
    started: bool = False
    cached_tokens: int = 0
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Forwards the events of a job while it is its call's current job."""

    fleet: 'Fleet'
    call: Call

    def on_started(self, job: Job) -> None:
        """Forward the first token, or the start of a service call."""
        if self.call.job is job:
            self.fleet.on_started(self.call, job.cached_tokens)

    def on_done(self, job: Job) -> None:
        """Forward the end of the answer."""
        if self.call.job is job:
            self.fleet.on_done(self.call)

    def on_failed(self, job: Job, kind: FailureKind) -> None:
        """Forward a failure."""
        if self.call.job is job:
            self.fleet.on_failed(self.call, kind)


@dataclass(slots=True, eq=False)
class ProgramRun:
    """Holds the progress and the outcome of a program."""

    program: Program
    ideal_s: float
    attained_tokens: float = 0.0
    ended_s: float | None = None
    failed: bool = False


class Policy(Protocol):
    """Routes calls to servers."""

    def submit(self, call: Call) -> None:
        """Dispatch, queue or refuse a call."""

    def on_started(self, call: Call) -> None:
        """Handle the first token of a call."""

    def on_finished(self, call: Call) -> None:
        """Handle the end of a call."""

    def on_failed(self, call: Call, kind: FailureKind) -> None:
        """Handle the failure of a call."""

    def on_context_ended(self, run: 'ProgramRun', context_id: str) -> None:
        """Handle the end of a program or sub-agent."""

    def on_instance_restarted(self, domain: str, instance: int) -> None:
        """Handle the planned restart of an instance."""


@dataclass(slots=True)
class Bucket:
    """Decides whether a call is within its organisation's contracted rate."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_at_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take a token; return False if there is none."""
        gained_tokens = (now_s - self.refilled_at_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained_tokens)
        self.refilled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class Counts:
    """Counts the calls and the costs of a run.

    `wasted_tokens` are those prefilled again, `not_run` the service calls
    that were not sent because the store was down.
    """

    calls: int = 0
    wasted_tokens: int = 0
    refused: int = 0
    refused_within_rate: int = 0
    not_run: int = 0
    failures: int = 0
    region_bytes: int = 0


class Fleet:
    """Simulates the servers, links and programs of one deployment."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.clock = Clock()
        self.deployment = deployment
        self.servers_by_id: dict[ServerId, BackendServer] = {}
        self.hosts_by_id: dict[ServerId, FakeEngine | FakeService] = {}
        self.listed_ids: set[ServerId] = set()
        self.partitioned_domains: set[str] = set()
        self.is_store_down = False
        self.counts = Counts()
        self.runs: list[ProgramRun] = []
        self.running_count = 0
        self.policy: Policy
        self._computed_tokens_by_context: dict[str, int] = {}
        self._link_free_at_s_by_region: dict[str, float] = {}
        self._call_count = 0
        self._retries = RetryBudget(RetrySettings(), seed)
        self._region_by_domain = {d.name: d.region for d in deployment.domains}
        nominal = deployment.nominal_calls_per_s()
        self._buckets = [
            Bucket(share * nominal, 5 + 5 * share * nominal, 5.0)
            for share in ORGANISATION_SHARES
        ]
        for domain in deployment.domains:
            for number in range(domain.models):
                self._add_server('chat', domain.name, number)
            for number in range(domain.services):
                self._add_server('orders', domain.name, number)

    def region(self, domain: str) -> str:
        """Return the region of a failure domain."""
        return self._region_by_domain[domain]

    def pool_servers(self, pool: str) -> list[BackendServer]:
        """Return the servers of a pool that the platform lists."""
        return [
            server
            for server_id, server in self.servers_by_id.items()
            if server.pool == pool and server_id in self.listed_ids
        ]

    def is_partitioned(self, first: str, second: str) -> bool:
        """Return whether two domains cannot reach each other."""
        if first == second:
            return False
        return (
            first in self.partitioned_domains
            or second in self.partitioned_domains
        )

    def start(self, program: Program) -> None:
        """Schedule a program at its arrival time."""
        run = ProgramRun(
            program, _compute_ideal_s(program.steps, SYSTEM_TOKENS)
        )
        self.runs.append(run)
        self.clock.call_later(program.arrival_s, self._begin_run, run)
        self.running_count += 1

    def dispatch(self, call: Call, server: BackendServer) -> None:
        """Send a call to a server."""
        call.server = server
        call.started = False
        call.cached_tokens = 0
        delay_s = DOMAIN_DELAY_S
        if self.is_partitioned(call.domain, server.domain_id):
            kind = FailureKind.UNREACHABLE
            call.job = None
            self.clock.call_later(
                CONNECT_TIMEOUT_S, self.on_failed, call, kind
            )
            return
        if self.region(call.domain) != server.region_id:
            size = (call.prompt_tokens + call.output_tokens) * BYTES_PER_TOKEN
            delay_s = self._reserve_region_link(self.region(call.domain), size)
        job = Job(
            context_id=call.context_id,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            service_s=call.service_s,
            listener=Attempt(self, call),
        )
        call.job = job
        host = self.hosts_by_id[server.server_id]
        self.clock.call_later(delay_s, host.submit, job)

    def cancel_and_resubmit(self, call: Call) -> None:
        """Cancel a call on its server and submit it again."""
        if call.job is None or call.server is None:
            return
        self.hosts_by_id[call.server.server_id].cancel(call.job)
        call.job = None
        call.avoided.add(call.server.server_id)
        call.attempt += 1
        self.policy.submit(call)

    def refuse(self, call: Call, retry_after_s: float) -> None:
        """Refuse a call; its caller retries it until the program times out."""
        self.counts.refused += 1
        self.counts.refused_within_rate += call.is_within_rate
        program = call.run.program
        if self.clock.now_s - program.arrival_s > PROGRAM_TIMEOUT_S:
            self._end_run(call.run, failed=True)
            return
        call.deadline_s = self.clock.now_s + retry_after_s + CALL_DEADLINE_S
        self.clock.call_later(retry_after_s, self.policy.submit, call)

    def kill_engine(self, server_id: ServerId) -> None:
        """Kill an engine; it leaves the platform's list after a lag."""
        host = self.hosts_by_id[server_id]
        if isinstance(host, FakeEngine):
            host.crash()
        self.clock.call_later(
            DISCOVERY_LAG_S, self.listed_ids.discard, server_id
        )

    def restart_engine(self, server_id: ServerId) -> None:
        """Restart an engine with an empty cache; it is listed after a lag."""
        host = self.hosts_by_id[server_id]
        if isinstance(host, FakeEngine):
            host.is_alive = True
        self.clock.call_later(DISCOVERY_LAG_S, self.listed_ids.add, server_id)

    def _add_server(self, pool: str, domain: str, number: int) -> None:
        server_id = ServerId(f'{domain}-{pool}-{number}')
        is_chat = pool == 'chat'
        slots = MODEL_SLOTS if is_chat else SERVICE_SLOTS
        self.servers_by_id[server_id] = BackendServer(
            server_id,
            DomainId(domain),
            RegionId(self.region(domain)),
            '',
            pool,
            slots,
            CACHE_TOKENS if is_chat else 0,
        )
        if is_chat:
            engine = FakeEngine(self.clock, slots, CACHE_TOKENS)
            self.hosts_by_id[server_id] = engine
        else:
            self.hosts_by_id[server_id] = FakeService(self.clock, slots)
        self.listed_ids.add(server_id)

    def _reserve_region_link(self, region: str, size: int) -> float:
        self.counts.region_bytes += size
        now_s = self.clock.now_s
        free_s = max(now_s, self._link_free_at_s_by_region.get(region, 0.0))
        self._link_free_at_s_by_region[region] = (
            free_s + size / REGION_LINK_BYTES_PER_S
        )
        return (
            self._link_free_at_s_by_region[region] - now_s + 2 * REGION_DELAY_S
        )

    def _begin_run(self, run: ProgramRun) -> None:
        name = run.program.name
        self._run_step(run, name, run.program.steps, 0, SYSTEM_TOKENS, None)

    def _run_step(
        self,
        run: ProgramRun,
        context_id: str,
        steps: tuple[Step, ...],
        index: int,
        history_tokens: int,
        on_done: Callable[[], None] | None,
    ) -> None:
        if run.ended_s is not None:
            return
        if index == len(steps):
            if on_done is None:
                self._end_run(run, failed=False)
                return
            self.policy.on_context_ended(run, context_id)
            on_done()
            return
        step = steps[index]

        def proceed(new_history_tokens: int = history_tokens) -> None:
            self._run_step(
                run, context_id, steps, index + 1, new_history_tokens, on_done
            )

        match step:
            case PauseStep(pause_s):
                self.clock.call_later(pause_s, proceed)
            case ModelStep(new_tokens, output_tokens):
                prompt_tokens = history_tokens + new_tokens
                total_tokens = prompt_tokens + output_tokens
                self._submit_call(
                    run,
                    context_id,
                    'chat',
                    prompt_tokens,
                    output_tokens,
                    0.0,
                    lambda: proceed(total_tokens),
                )
            case ServiceStep(service_s):
                self._run_service(run, context_id, service_s, proceed)
            case AgentsStep(agents):
                self._run_agents(run, f'{context_id}.{index}', agents, proceed)

    def _run_service(
        self,
        run: ProgramRun,
        context_id: str,
        service_s: float,
        proceed: Callable[[], None],
    ) -> None:
        if self.is_store_down:
            self.counts.not_run += 1
            self._end_run(run, failed=False)
            return
        self._submit_call(run, context_id, 'orders', 0, 20, service_s, proceed)

    def _run_agents(
        self,
        run: ProgramRun,
        prefix: str,
        agents: tuple[tuple[Step, ...], ...],
        proceed: Callable[[], None],
    ) -> None:
        """Run sub-agents in parallel, and proceed once all have ended."""
        remaining = [len(agents)]

        def on_agent_done() -> None:
            remaining[0] -= 1
            if not remaining[0]:
                proceed()

        for number, agent in enumerate(agents):
            name = f'{prefix}.{number}'
            self._run_step(run, name, agent, 0, SYSTEM_TOKENS, on_agent_done)

    def _submit_call(
        self,
        run: ProgramRun,
        context_id: str,
        pool: str,
        prompt_tokens: int,
        output_tokens: int,
        service_s: float,
        on_done: Callable[[], None],
    ) -> None:
        now_s = self.clock.now_s
        self._call_count += 1
        self.counts.calls += 1
        program = run.program
        call = Call(
            name=f'{self._call_count}',
            run=run,
            context_id=context_id,
            pool=pool,
            domain=program.domain,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            service_s=service_s,
            arrival_s=now_s,
            is_within_rate=self._buckets[program.organisation].take(now_s),
            on_done=on_done,
            deadline_s=now_s + CALL_DEADLINE_S,
        )
        self.policy.submit(call)

    def on_started(self, call: Call, cached_tokens: int) -> None:
        """Count the tokens prefilled again and notify the policy."""
        call.started = True
        call.cached_tokens = cached_tokens
        if call.pool == 'chat':
            computed_before = self._computed_tokens_by_context.get(
                call.context_id, 0
            )
            computed_tokens = min(computed_before, call.prompt_tokens)
            self.counts.wasted_tokens += max(
                0, computed_tokens - cached_tokens
            )
            self._computed_tokens_by_context[call.context_id] = (
                call.prompt_tokens
            )
        self.policy.on_started(call)

    def on_done(self, call: Call) -> None:
        """Record the end of a call and continue its program."""
        call.job = None
        uncached_tokens = call.prompt_tokens - call.cached_tokens
        call.run.attained_tokens += uncached_tokens * 0.05 + call.output_tokens
        total_tokens = call.prompt_tokens + call.output_tokens
        if call.pool == 'chat':
            self._computed_tokens_by_context[call.context_id] = total_tokens
        self._retries.record_success()
        self.policy.on_finished(call)
        call.on_done()

    def on_failed(self, call: Call, kind: FailureKind) -> None:
        """Retry a failed call if the retry budget allows it."""
        self.counts.failures += 1
        call.job = None
        if call.server is not None:
            call.avoided.add(call.server.server_id)
        self.policy.on_failed(call, kind)
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
            self._end_run(call.run, failed=True)
            return
        call.attempt += 1
        self.clock.call_later(decision.at_s - now_s, self.policy.submit, call)

    def _end_run(self, run: ProgramRun, failed: bool) -> None:
        if run.ended_s is not None:
            return
        run.ended_s = self.clock.now_s
        run.failed = failed
        self.running_count -= 1
        self.policy.on_context_ended(run, run.program.name)


def _compute_ideal_s(steps: tuple[Step, ...], history_tokens: int) -> float:
    total_s = 0.0
    cached_tokens = 0
    for step in steps:
        match step:
            case PauseStep(pause_s):
                total_s += pause_s
            case ServiceStep(service_s):
                total_s += service_s
            case ModelStep(new_tokens, output_tokens):
                history_tokens += new_tokens
                total_s += (
                    history_tokens - cached_tokens
                ) / PREFILL_TOKENS_PER_S
                total_s += output_tokens * (STEP_S + STEP_PER_SEQUENCE_S)
                history_tokens += output_tokens
                cached_tokens = history_tokens
            case AgentsStep(agents):
                total_s += max(
                    _compute_ideal_s(a, SYSTEM_TOKENS) for a in agents
                )
    return total_s
