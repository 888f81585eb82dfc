"""Measure how the costs of the decision modules grow with their load.

A program's home is the instance that owns the program's state. A pool's
steward is the instance that grants the slots of the pool's servers.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import gc
from pathlib import Path
import sys
import time
import tracemalloc

import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from jackdawfield.decisions.buckets import Contract  # noqa: E402
from jackdawfield.decisions.changes import apply_change  # noqa: E402
from jackdawfield.decisions.changes import WithdrawKey  # noqa: E402
from jackdawfield.decisions.credentials import secret_digest  # noqa: E402
from jackdawfield.decisions.history import History  # noqa: E402
from jackdawfield.decisions.home_events import BeginRequested  # noqa: E402
from jackdawfield.decisions.homes import ProgramHome  # noqa: E402
from jackdawfield.decisions.lease import Lease  # noqa: E402
from jackdawfield.decisions.lease import TableRead  # noqa: E402
from jackdawfield.decisions.ledger import ledger_key  # noqa: E402
from jackdawfield.decisions.ordering import ArrivalId  # noqa: E402
from jackdawfield.decisions.placement import owner_in_domain  # noqa: E402
from jackdawfield.decisions.pool import Pool  # noqa: E402
from jackdawfield.decisions.pool import PoolSettings  # noqa: E402
from jackdawfield.decisions.pool_events import Finished  # noqa: E402
from jackdawfield.decisions.pool_events import RequestSubmitted  # noqa: E402
from jackdawfield.decisions.pool_events import ServersChanged  # noqa: E402
from jackdawfield.decisions.pool_events import SlotDemand  # noqa: E402
from jackdawfield.decisions.programs import ProgramRow  # noqa: E402
from jackdawfield.decisions.rate_events import AdmissionRequested  # noqa: E402
from jackdawfield.decisions.rate_events import ContractsChanged  # noqa: E402
from jackdawfield.decisions.rate_events import LeaseRenewed  # noqa: E402
from jackdawfield.decisions.rate_events import LedgerRead  # noqa: E402
from jackdawfield.decisions.rate_events import LedgerWritten  # noqa: E402
from jackdawfield.decisions.rate_events import RateSettings  # noqa: E402
from jackdawfield.decisions.rate_events import TimePassed  # noqa: E402
from jackdawfield.decisions.rates import ShareHolder  # noqa: E402
from jackdawfield.decisions.roster import Roster  # noqa: E402
from jackdawfield.decisions.roster import RosterEntry  # noqa: E402
from jackdawfield.decisions.table import Committed  # noqa: E402
from jackdawfield.decisions.table import Row  # noqa: E402
from jackdawfield.messages.rates import RequestId  # noqa: E402
from jackdawfield.model import BackendServer  # noqa: E402
from jackdawfield.model import Configuration  # noqa: E402
from jackdawfield.model import DomainId  # noqa: E402
from jackdawfield.model import Epoch  # noqa: E402
from jackdawfield.model import Incarnation  # noqa: E402
from jackdawfield.model import InstanceId  # noqa: E402
from jackdawfield.model import KeyId  # noqa: E402
from jackdawfield.model import KeyRecord  # noqa: E402
from jackdawfield.model import Member  # noqa: E402
from jackdawfield.model import Organisation  # noqa: E402
from jackdawfield.model import OrganisationId  # noqa: E402
from jackdawfield.model import ProgramId  # noqa: E402
from jackdawfield.model import RegionId  # noqa: E402
from jackdawfield.model import RouteName  # noqa: E402
from jackdawfield.model import ServerId  # noqa: E402
from jackdawfield.model import TemplateName  # noqa: E402
from jackdawfield.model import TemplateParameters  # noqa: E402
from jackdawfield.model import Version  # noqa: E402

US_PER_S = 1_000_000
REPEAT_COUNT = 200
KEYS_PER_ORGANISATION = 2
TURN_BYTES = 20_000


@dataclass(frozen=True, slots=True)
class Slope:
    """Holds the line fitted to the values of several sizes."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    base: float
    per_item: float


def fit_line(
    name: str, unit: str, sizes: tuple[int, ...], values: tuple[float, ...]
) -> Slope:
    """Return the least-squares line of values over sizes."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    covariance = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    per_item = covariance / sum((x - mean_x) ** 2 for x in sizes)
    return Slope(
        name, unit, sizes, values, mean_y - per_item * mean_x, per_item
    )


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that a built object allocates."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def measure_us(
    operation: Callable[[int], object], repeats: int = REPEAT_COUNT
) -> float:
    """Return the average processor time of an operation in us."""
    started_s = time.process_time()
    for number in range(repeats):
        operation(number)
    return (time.process_time() - started_s) / repeats * US_PER_S


def measure_slope(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    """Measure each size and return the fitted line."""
    return fit_line(name, unit, sizes, tuple(measure(size) for size in sizes))


def build_configuration(count: int) -> Configuration:
    """Return a configuration with a given number of organisations."""
    organisations = {}
    keys = {}
    for number in range(count):
        name = OrganisationId(f'organisation-{number}')
        organisations[name] = Organisation(
            name,
            2.0,
            5,
            parameters_by_template={
                TemplateName(f'template-{t}'): TemplateParameters(
                    100_000, frozenset({RouteName(f'route-{t}')})
                )
                for t in range(2)
            },
        )
        for number_of_key in range(KEYS_PER_ORGANISATION):
            key_id = KeyId(f'{number}k{number_of_key}')
            digest = secret_digest(key_id)
            keys[key_id] = KeyRecord(key_id, name, digest)
    return Configuration(Version(1), organisations, {}, {}, keys)


def build_roster(count: int) -> Roster:
    """Return a roster with a given number of instances."""
    entries = tuple(
        RosterEntry(
            Incarnation(f'incarnation-{n:016x}'),
            n,
            False,
            InstanceId(f'entry-{n}'),
            DomainId(f'domain-{n % 8}'),
            RegionId(f'region-{n % 3}'),
            f'10.0.{n // 250}.{n % 250}:8090',
        )
        for n in range(count)
    )
    return Roster(count, entries)


def build_members(count: int) -> dict[InstanceId, Member]:
    """Return a given number of members by instance id."""
    return {
        entry.instance_id: Member(
            entry.instance_id,
            entry.incarnation,
            entry.domain_id,
            entry.region_id,
            entry.peer_address,
        )
        for entry in build_roster(count).entries
    }


def measure_renewal_us(count: int) -> float:
    """Return the time in us of a lease renewal by a read of the table."""
    known_roster = build_roster(count)
    lease = Lease(known_roster.entries[0].incarnation)
    return measure_us(
        lambda n: lease.on(
            TableRead(float(n), Version(0), known_roster), float(n)
        )
    )


def build_share_holder(count: int) -> ShareHolder:
    """Return a holder of the shares of a given number of organisations."""
    contracts = {
        OrganisationId(f'organisation-{n}'): Contract(1e6, 1_000_000)
        for n in range(count)
    }
    share_holder = ShareHolder(
        InstanceId('entry-0'), Incarnation('incarnation-0'), RateSettings()
    )
    share_holder.on(LeaseRenewed(1e9), 0.0)
    share_holder.on(ContractsChanged(contracts), 0.0)
    for name in contracts:
        share_holder.on(
            AdmissionRequested(name, RequestId(f'request-{name}')), 0.0
        )
        share_holder.on(LedgerRead(name, Row(ledger_key(name), b'', 0)), 0.0)
        share_holder.on(LedgerWritten(name, Committed(1)), 0.0)
    return share_holder


def measure_admission_us(count: int) -> float:
    """Return the time in us of one admission."""
    share_holder = build_share_holder(count)
    return measure_us(
        lambda n: share_holder.on(
            AdmissionRequested(
                OrganisationId(f'organisation-{n % count}'),
                RequestId(f'request-{n}'),
            ),
            1.0 + n / 1000,
        )
    )


def measure_tick_us(count: int) -> float:
    """Return the time in us of one tick over all shares."""
    share_holder = build_share_holder(count)
    return measure_us(
        lambda n: share_holder.on(TimePassed(), 1.0 + n / 10), 20
    )


def build_pool(count: int) -> Pool:
    """Return a pool with a given number of servers."""
    pool = Pool(RegionId('region-0'), PoolSettings())
    servers = tuple(
        BackendServer(
            ServerId(f'server-{n}'),
            DomainId('domain-0'),
            RegionId('region-0'),
            f'10.1.0.{n}:8000',
            'model-0',
            16,
            1_000_000,
        )
        for n in range(count)
    )
    pool.on(ServersChanged(0.0, servers))
    return pool


def build_demand(number: int) -> SlotDemand:
    """Return a request for a slot."""
    return SlotDemand(
        f'request-{number}',  # type: ignore[arg-type]
        InstanceId('entry-1'),
        OrganisationId(f'organisation-{number % 40}'),
        ProgramId(f'domain-0.{number % 300}'),
        2_000,
        268,
        1e6,
    )


def measure_grant_us(count: int) -> float:
    """Return the time in us of one granted and finished request."""
    pool = build_pool(count)

    def grant_and_finish(number: int) -> None:
        now_s = number * 0.01
        slot_demand = build_demand(number)
        pool.on(RequestSubmitted(now_s, slot_demand))
        pool.on(Finished(now_s + 0.01, slot_demand.request_id, 2_000, 0, 268))

    return measure_us(grant_and_finish)


def build_loaded_pool(count: int) -> Pool:
    """Return a pool with a given number of running or queued requests."""
    pool = build_pool(14)
    for number in range(count):
        pool.on(RequestSubmitted(0.0, build_demand(number)))
    return pool


def build_program(number: int) -> ProgramHome:
    """Return the state of a newly started program at its home."""
    program_id = ProgramId(f'domain-0.{number:024x}')
    program = ProgramHome(program_id, Incarnation('incarnation-0'))
    row = ProgramRow(
        program_id,
        OrganisationId('organisation-0'),
        TemplateName('template-0'),
        Epoch(1),
        Incarnation('incarnation-0'),
        0.0,
    )
    program.on(BeginRequested(ArrivalId(str(number)), row, 0.0))
    return program


def build_history(turns: int) -> History:
    """Return a history with a given number of turns of equal length."""
    history = History(
        OrganisationId('organisation-0'), ProgramId('domain-0.0')
    )
    for number in range(1, turns + 1):
        history = with_next_turn(history, number)
    return history


def with_next_turn(history: History, number: int) -> History:
    """Return a history with one more turn."""
    request = b'r' * (TURN_BYTES // 2)
    answer = number.to_bytes(4) * (TURN_BYTES // 8)
    record = history.make_record(b'digest', request, answer, 5_000)
    return replace(history, turns=(*history.turns, record))


def measure_append_us(turns: int) -> float:
    """Return the time in us of one more turn after a number of turns."""
    history = build_history(turns)
    return measure_us(lambda n: with_next_turn(history, turns + 1))


def measure_change_us(count: int) -> float:
    """Return the time in us of applying one change."""
    configuration = build_configuration(count)
    return measure_us(
        lambda n: apply_change(configuration, WithdrawKey(KeyId('1k0')))
    )


def measure_owner_us(count: int) -> float:
    """Return the time in us of finding one owner in a failure domain."""
    members = build_members(count)
    return measure_us(
        lambda n: owner_in_domain(
            f'program:{n}', DomainId('domain-0'), members
        )
    )


@dataclass(frozen=True, slots=True)
class Measurement:
    """Holds one slope to measure, and the sizes to measure it at."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


ORGANISATIONS = (100, 500, 1_000, 1_900)
INSTANCES = (50, 100, 200, 410)
SHARES = (50, 100, 200, 400)
SERVERS = (2, 4, 8, 14, 28)
REQUESTS = (50, 100, 200, 400)
PROGRAMS = (50, 100, 170, 340)
TURNS = (4, 13, 26, 52)


MEASUREMENTS = (
    Measurement(
        'configuration: memory over organisations',
        'bytes',
        ORGANISATIONS,
        lambda n: measure_bytes(lambda: build_configuration(n)),
    ),
    Measurement(
        'configuration: snapshot over organisations',
        'bytes',
        ORGANISATIONS,
        lambda n: len(msgspec.json.encode(build_configuration(n))),
    ),
    Measurement(
        'configuration: one change over organisations',
        'us',
        ORGANISATIONS,
        measure_change_us,
    ),
    Measurement(
        'roster and members: memory over instances',
        'bytes',
        INSTANCES,
        lambda n: measure_bytes(lambda: (build_roster(n), build_members(n))),
    ),
    Measurement(
        'lease: one renewal over instances',
        'us',
        INSTANCES,
        measure_renewal_us,
    ),
    Measurement(
        'placement: one owner over instances',
        'us',
        INSTANCES,
        measure_owner_us,
    ),
    Measurement(
        'rates: memory over shares held',
        'bytes',
        SHARES,
        lambda n: measure_bytes(lambda: build_share_holder(n)),
    ),
    Measurement(
        'rates: one admission over shares held',
        'us',
        SHARES,
        measure_admission_us,
    ),
    Measurement(
        'rates: one tick over shares held', 'us', SHARES, measure_tick_us
    ),
    Measurement(
        'steward: one grant and release over servers',
        'us',
        SERVERS,
        measure_grant_us,
    ),
    Measurement(
        'steward: memory over servers',
        'bytes',
        SERVERS,
        lambda n: measure_bytes(lambda: build_pool(n)),
    ),
    Measurement(
        'steward: memory over running, queued requests',
        'bytes',
        REQUESTS,
        lambda n: measure_bytes(lambda: build_loaded_pool(n)),
    ),
    Measurement(
        'home: memory over programs, without history',
        'bytes',
        PROGRAMS,
        lambda n: measure_bytes(lambda: [build_program(i) for i in range(n)]),
    ),
    Measurement(
        'home: memory over turns of one program',
        'bytes',
        TURNS,
        lambda n: measure_bytes(lambda: build_history(n)),
    ),
    Measurement(
        'home: one turn over turns before it',
        'us',
        TURNS,
        measure_append_us,
    ),
)


def measure_all_slopes() -> list[Slope]:
    """Measure all slopes."""
    return [
        measure_slope(item.name, item.unit, item.sizes, item.measure)
        for item in MEASUREMENTS
    ]


def main() -> int:
    """Print the table and return the process exit code."""
    print(f'{"slope":<46}{"unit":<7}{"base":>12}{"per item":>12}  sizes')
    for slope in measure_all_slopes():
        values = ' '.join(
            f'{size}:{value:.1f}'
            for size, value in zip(slope.sizes, slope.values, strict=True)
        )
        print(
            f'{slope.name:<46}{slope.unit:<7}'
            f'{slope.base:>12.1f}{slope.per_item:>12.3f}  {values}'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
