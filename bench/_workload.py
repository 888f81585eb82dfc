"""Generate random agent programs for both users' deployments."""

from dataclasses import dataclass
from random import Random

ORGANISATION_SHARES = (0.30, 0.22, 0.12, 0.10, 0.08, 0.07, 0.06, 0.05)
FLOODING_ORGANISATION = 1
SERVER_CALLS_PER_S = 3.0
SYSTEM_TOKENS = 2000
LOOP_TURNS = 52


@dataclass(frozen=True, slots=True)
class Domain:
    """Describes a failure domain of a deployment."""

    name: str
    region: str
    models: int
    services: int
    demand_share: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describes the failure domains of a user's deployment."""

    name: str
    domains: tuple[Domain, ...]

    def nominal_calls_per_s(self) -> float:
        """Return the model calls a second that the deployment can serve."""
        models = sum(domain.models for domain in self.domains)
        return models * SERVER_CALLS_PER_S


TAMICES = Deployment(
    'Tamices Unidos',
    (
        Domain('centro-leon', 'centro', 2, 2, 0.45),
        Domain('centro-celaya', 'centro', 1, 1, 0.30),
        Domain('mty-apodaca', 'monterrey', 1, 1, 0.25),
    ),
)
TANA = Deployment(
    'Tana',
    (
        Domain('bahir-dar', 'amhara', 2, 2, 0.40),
        Domain('gondar', 'amhara', 2, 1, 0.27),
        Domain('bole', 'addis', 2, 1, 0.33),
    ),
)
WIDE = Deployment('One wide pool', (Domain('wide', 'wide', 8, 4, 1.0),))


@dataclass(frozen=True, slots=True)
class ModelStep:
    """Describes a model call that adds to a context's history."""

    new_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class PauseStep:
    """Describes a pause while a tool runs outside of the system."""

    pause_s: float


@dataclass(frozen=True, slots=True)
class ServiceStep:
    """Describes a call of a plain service that may not be repeated."""

    service_s: float


@dataclass(frozen=True, slots=True)
class AgentsStep:
    """Describes sub-agents that run in parallel until all have ended."""

    agents: tuple[tuple['Step', ...], ...]


Step = ModelStep | PauseStep | ServiceStep | AgentsStep


@dataclass(frozen=True, slots=True)
class Program:
    """Describes a program; an anomalous one hangs or loops."""

    name: str
    organisation: int
    domain: str
    arrival_s: float
    steps: tuple[Step, ...]
    is_anomalous: bool


@dataclass(frozen=True, slots=True)
class Load:
    """Sets the demand; levels are fractions of the nominal capacity."""

    level: float
    duration_s: float
    flood_level: float = 0.0
    hung_share: float = 0.0
    loop_share: float = 0.0


def draw_programs(
    deployment: Deployment, load: Load, seed: int
) -> list[Program]:
    """Return the programs of a run in the order of their arrival.

    Each organisation gets programs until their model calls reach its level;
    the programs and their arrival times are random.
    """
    programs: list[Program] = []
    for organisation, share in enumerate(ORGANISATION_SHARES):
        level = load.level
        if organisation == FLOODING_ORGANISATION and load.flood_level:
            level = load.flood_level
        calls_per_s = share * level * deployment.nominal_calls_per_s()
        random = Random(f'{seed}/{deployment.name}/{organisation}')
        calls_left = calls_per_s * load.duration_s
        while calls_left > 0:
            name = f'{organisation}-{len(programs)}'
            program = _draw_program(
                random, name, organisation, deployment, load
            )
            programs.append(program)
            calls_left -= _count_model_calls(program.steps)
    return sorted(programs, key=lambda program: program.arrival_s)


def _count_model_calls(steps: tuple[Step, ...]) -> int:
    calls = 0
    for step in steps:
        match step:
            case ModelStep():
                calls += 1
            case AgentsStep(agents):
                calls += sum(_count_model_calls(agent) for agent in agents)
    return calls


def _draw_program(
    random: Random,
    name: str,
    organisation: int,
    deployment: Deployment,
    load: Load,
) -> Program:
    weights = [domain.demand_share for domain in deployment.domains]
    arrival_s = random.uniform(0.0, load.duration_s)
    domain = random.choices(deployment.domains, weights)[0]
    is_looping = random.random() < load.loop_share
    is_hung = random.random() < load.hung_share
    turns = (
        LOOP_TURNS
        if is_looping
        else min(16, 1 + int(random.expovariate(0.28)))
    )
    steps: list[Step] = []
    for turn in range(turns):
        steps.append(_draw_model_step(random))
        if turn and random.random() < 0.06:
            steps.append(
                AgentsStep((_draw_agent(random), _draw_agent(random)))
            )
        if turn < turns - 1:
            pause_s = min(30.0, random.expovariate(0.4))
            steps.append(PauseStep(120.0 if is_hung and not turn else pause_s))
    if random.random() < 0.3:
        service_s = 0.1 + random.expovariate(4.0)
        steps.append(ServiceStep(60.0 if is_hung else service_s))
    odd = is_looping or is_hung
    return Program(
        name, organisation, domain.name, arrival_s, tuple(steps), odd
    )


def _draw_model_step(random: Random) -> ModelStep:
    new_tokens = 80 + int(random.expovariate(1 / 500))
    output_tokens = 30 + int(random.expovariate(1 / 150))
    return ModelStep(min(4000, new_tokens), min(1000, output_tokens))


def _draw_agent(random: Random) -> tuple[Step, ...]:
    pause_s = random.expovariate(1.0)
    return (
        _draw_model_step(random),
        PauseStep(pause_s),
        _draw_model_step(random),
    )
