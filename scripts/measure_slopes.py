"""Measures what one more of each thing costs the decision modules."""

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
from jackdawfield.decisions.pool_events import ServersChanged  # noqa: E402
from jackdawfield.decisions.pool_events import SlotDemand  # noqa: E402
from jackdawfield.decisions.pool_events import Submit  # noqa: E402
from jackdawfield.decisions.programs import ProgramRow  # noqa: E402
from jackdawfield.decisions.rate_events import Admit  # noqa: E402
from jackdawfield.decisions.rate_events import ContractsChanged  # noqa: E402
from jackdawfield.decisions.rate_events import LeaseRenewed  # noqa: E402
from jackdawfield.decisions.rate_events import LedgerRead  # noqa: E402
from jackdawfield.decisions.rate_events import LedgerWritten  # noqa: E402
from jackdawfield.decisions.rate_events import RateSettings  # noqa: E402
from jackdawfield.decisions.rate_events import Tick  # noqa: E402
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
from jackdawfield.model import Parameters  # noqa: E402
from jackdawfield.model import ProgramId  # noqa: E402
from jackdawfield.model import RegionId  # noqa: E402
from jackdawfield.model import RouteName  # noqa: E402
from jackdawfield.model import ServerId  # noqa: E402
from jackdawfield.model import TemplateName  # noqa: E402
from jackdawfield.model import Version  # noqa: E402

US_PER_S = 1_000_000
REPEATS = 200
KEYS_PER_ORGANISATION = 2
TURN_BYTES = 20_000


@dataclass(frozen=True, slots=True)
class Slope:
    """Holds the line through the figures of several sizes."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    base: float
    per_item: float


def fit(
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


def bytes_of(build: Callable[[], object]) -> int:
    """Return the bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    held = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size


def microseconds(
    run: Callable[[int], object], repeats: int = REPEATS
) -> float:
    """Return the processor microseconds of one run on the average."""
    started_s = time.process_time()
    for number in range(repeats):
        run(number)
    return (time.process_time() - started_s) / repeats * US_PER_S


def over(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    """Measure each size and return the line."""
    return fit(name, unit, sizes, tuple(measure(size) for size in sizes))


def configuration(count: int) -> Configuration:
    """Return a configuration with a number of organisations."""
    organisations = {}
    keys = {}
    for number in range(count):
        name = OrganisationId(f'organisation-{number}')
        organisations[name] = Organisation(
            name,
            2.0,
            5,
            parameters_by_template={
                TemplateName(f'template-{t}'): Parameters(
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


def roster(count: int) -> Roster:
    """Return a roster with a number of instances."""
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


def members(count: int) -> dict[InstanceId, Member]:
    """Return the members of a roster by id."""
    return {
        entry.instance_id: Member(
            entry.instance_id,
            entry.incarnation,
            entry.domain_id,
            entry.region_id,
            entry.peer_address,
        )
        for entry in roster(count).entries
    }


def renew_us(count: int) -> float:
    """Return the cost of one renewal by a read of the table."""
    known = roster(count)
    lease = Lease(known.entries[0].incarnation)
    return microseconds(
        lambda n: lease.on(TableRead(float(n), Version(0), known), float(n))
    )


def holder(count: int) -> ShareHolder:
    """Return a holder of a number of organisations' shares."""
    contracts = {
        OrganisationId(f'organisation-{n}'): Contract(1e6, 1_000_000)
        for n in range(count)
    }
    found = ShareHolder(
        InstanceId('entry-0'), Incarnation('incarnation-0'), RateSettings()
    )
    found.on(LeaseRenewed(1e9), 0.0)
    found.on(ContractsChanged(contracts), 0.0)
    for name in contracts:
        found.on(Admit(name, RequestId(f'request-{name}')), 0.0)
        found.on(LedgerRead(name, Row(ledger_key(name), b'', 0)), 0.0)
        found.on(LedgerWritten(name, Committed(1)), 0.0)
    return found


def admit_us(count: int) -> float:
    """Return the cost of one admission."""
    found = holder(count)
    return microseconds(
        lambda n: found.on(
            Admit(
                OrganisationId(f'organisation-{n % count}'),
                RequestId(f'request-{n}'),
            ),
            1.0 + n / 1000,
        )
    )


def tick_us(count: int) -> float:
    """Return the cost of one tick over all shares."""
    found = holder(count)
    return microseconds(lambda n: found.on(Tick(), 1.0 + n / 10), 20)


def pool(count: int) -> Pool:
    """Return a steward of a number of servers."""
    found = Pool(RegionId('region-0'), PoolSettings())
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
    found.on(ServersChanged(0.0, servers))
    return found


def demand(number: int) -> SlotDemand:
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


def grant_us(count: int) -> float:
    """Return the cost of placing and ending one request."""
    found = pool(count)

    def one(number: int) -> None:
        now_s = number * 0.01
        wanted = demand(number)
        found.on(Submit(now_s, wanted))
        found.on(Finished(now_s + 0.01, wanted.request_id, 2_000, 0, 268))

    return microseconds(one)


def waiting_pool(count: int) -> Pool:
    """Return a steward with a number of requests held or queued."""
    found = pool(14)
    for number in range(count):
        found.on(Submit(0.0, demand(number)))
    return found


def home(number: int) -> ProgramHome:
    """Return the home of a program that has just begun."""
    program_id = ProgramId(f'domain-0.{number:024x}')
    found = ProgramHome(program_id, Incarnation('incarnation-0'))
    row = ProgramRow(
        program_id,
        OrganisationId('organisation-0'),
        TemplateName('template-0'),
        Epoch(1),
        Incarnation('incarnation-0'),
        0.0,
    )
    found.on(BeginRequested(ArrivalId(str(number)), row, 0.0))
    return found


def history(turns: int) -> History:
    """Return a history of a number of turns of equal length."""
    found = History(OrganisationId('organisation-0'), ProgramId('domain-0.0'))
    for number in range(1, turns + 1):
        found = extended(found, number)
    return found


def extended(found: History, number: int) -> History:
    """Return a history with one more turn."""
    request = b'r' * (TURN_BYTES // 2)
    answer = number.to_bytes(4) * (TURN_BYTES // 8)
    record = found.make_record(b'digest', request, answer, 5_000)
    return replace(found, turns=(*found.turns, record))


def append_us(turns: int) -> float:
    """Return the cost of one more turn at a length of history."""
    found = history(turns)
    return microseconds(lambda n: extended(found, turns + 1))


def slopes() -> list[Slope]:
    """Measure all slopes."""
    organisations = (100, 500, 1_000, 1_900)
    instances = (50, 100, 200, 410)
    shares = (50, 100, 200, 400)
    servers = (2, 4, 8, 14, 28)
    requests = (50, 100, 200, 400)
    programs = (50, 100, 170, 340)
    turns = (4, 13, 26, 52)
    return [
        over(
            'configuration: memory over organisations',
            'bytes',
            organisations,
            lambda n: bytes_of(lambda: configuration(n)),
        ),
        over(
            'configuration: snapshot over organisations',
            'bytes',
            organisations,
            lambda n: len(msgspec.json.encode(configuration(n))),
        ),
        over(
            'configuration: one change over organisations',
            'us',
            organisations,
            change_us,
        ),
        over(
            'roster and members: memory over instances',
            'bytes',
            instances,
            lambda n: bytes_of(lambda: (roster(n), members(n))),
        ),
        over('lease: one renewal over instances', 'us', instances, renew_us),
        over('placement: one owner over instances', 'us', instances, owner_us),
        over(
            'rates: memory over shares held',
            'bytes',
            shares,
            lambda n: bytes_of(lambda: holder(n)),
        ),
        over('rates: one admission over shares held', 'us', shares, admit_us),
        over('rates: one tick over shares held', 'us', shares, tick_us),
        over(
            'steward: one grant and release over servers',
            'us',
            servers,
            grant_us,
        ),
        over(
            'steward: memory over servers',
            'bytes',
            servers,
            lambda n: bytes_of(lambda: pool(n)),
        ),
        over(
            'steward: memory over requests in its hands',
            'bytes',
            requests,
            lambda n: bytes_of(lambda: waiting_pool(n)),
        ),
        over(
            'home: memory over programs, without history',
            'bytes',
            programs,
            lambda n: bytes_of(lambda: [home(i) for i in range(n)]),
        ),
        over(
            'home: memory over turns of one program',
            'bytes',
            turns,
            lambda n: bytes_of(lambda: history(n)),
        ),
        over('home: one turn over turns before it', 'us', turns, append_us),
    ]


def change_us(count: int) -> float:
    """Return the cost of applying one change."""
    value = configuration(count)
    return microseconds(
        lambda n: apply_change(value, WithdrawKey(KeyId('1k0')))
    )


def owner_us(count: int) -> float:
    """Return the cost of finding one owner in a failure domain."""
    known = members(count)
    return microseconds(
        lambda n: owner_in_domain(f'program:{n}', DomainId('domain-0'), known)
    )


def main() -> int:
    """Print the table and return the process exit code."""
    print(f'{"slope":<46}{"unit":<7}{"base":>12}{"per item":>12}  sizes')
    for slope in slopes():
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
