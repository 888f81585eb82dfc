"""Measures how soon changes hold everywhere, and what leases cost."""

from dataclasses import dataclass
from statistics import median

from bench.contracts_fleet import LEASE_S
from bench.contracts_fleet import TABLE_ROUND_TRIP_S
from bench.contracts_fleet import VirtualFleet

CHANGE_BOUND_S = 10.0
WITHDRAWAL_SLACK_S = 0.5
CONTROL_BYTES_PER_S = 9_000
TABLE_READS_PER_S = 200
SLOW_ROUND_TRIP_S = 1.5
WARM_S = 15.0
MEASURE_S = 15.0
CHANGES = 5
SIZES_BY_STORE = {
    'up': ((9, 3), (48, 8), (410, 8)),
    'down': ((9, 3), (24, 8), (48, 8), (96, 8)),
}
SCENARIOS = ('healthy', 'slow', 'down', 'cut', 'paused')


@dataclass(frozen=True, slots=True)
class Cost:
    """Holds rates a second: the mean and worst instance, and the table."""

    messages: float
    worst_messages: float
    bytes: float
    worst_bytes: float
    reads: float
    writes: float


def measure_cost(instances: int, domains: int, store_up: bool) -> Cost:
    """Return what keeping all leases costs, without changes."""
    fleet = VirtualFleet(instances, domains, seed=1)
    fleet.clock.run_until(WARM_S)
    fleet.table.up = store_up
    fleet.clock.run_until(2 * WARM_S)
    before = {
        name: (item.counts.messages, item.counts.message_bytes)
        for name, item in fleet.instances.items()
    }
    reads, writes = fleet.table.reads, fleet.table.writes
    fleet.clock.run_until(2 * WARM_S + MEASURE_S)
    rates = [
        (
            (item.counts.messages - before[name][0]) / MEASURE_S,
            (item.counts.message_bytes - before[name][1]) / MEASURE_S,
        )
        for name, item in fleet.instances.items()
    ]
    valid = all(
        item.lease.is_valid(fleet.clock.now_s)
        for item in fleet.instances.values()
    )
    if not valid:
        raise AssertionError('an instance in touch lost its lease')
    return Cost(
        sum(rate[0] for rate in rates) / instances,
        max(rate[0] for rate in rates),
        sum(rate[1] for rate in rates) / instances,
        max(rate[1] for rate in rates),
        (fleet.table.reads - reads) / MEASURE_S,
        (fleet.table.writes - writes) / MEASURE_S,
    )


def cost_table() -> list[str]:
    """Print the cost by size and return the missed bounds."""
    missed = []
    print('lease upkeep, rates a second: mean (worst) instance, whole table')
    print('store  instances  messages        bytes            reads  writes')
    for store, sizes in SIZES_BY_STORE.items():
        for instances, domains in sizes:
            cost = measure_cost(instances, domains, store == 'up')
            print(
                f'{store:5}  {instances:9}'
                f'  {cost.messages:5.1f} ({cost.worst_messages:5.1f})'
                f'  {cost.bytes:7.0f} ({cost.worst_bytes:6.0f})'
                f'  {cost.reads:5.1f}  {cost.writes:6.1f}'
            )
            name = f'lease upkeep, store {store}, {instances} instances'
            worst = cost.worst_bytes if store == 'up' else cost.bytes
            if worst > CONTROL_BYTES_PER_S:
                missed.append(f'{name}: {worst:.0f} bytes/s')
            if cost.reads > TABLE_READS_PER_S or cost.writes > 0:
                missed.append(f'{name}: table reads or writes')
    return missed


def measure_changes(
    scenario: str, instances: int, domains: int, count: int
) -> tuple[list[float], list[float], list[float]]:
    """Return seconds from request and commit to hold, and to accept."""
    fleet = VirtualFleet(instances, domains, seed=2)
    if scenario == 'slow':
        fleet.table.round_trip_s = SLOW_ROUND_TRIP_S
    fleet.clock.run_until(WARM_S)
    fault = scenario if scenario in ('down', 'cut', 'paused') else ''
    asked, committed, accepted = [], [], []
    for number in range(1, count + 1):
        change = fleet.run_change(number, fault, limit_s=2.5 * LEASE_S)
        for held_s in change.held_at_s.values():
            asked.append(held_s - change.asked_at_s)
            committed.append(held_s - change.committed_at_s)
        end_s = change.accepted_at_s or float('inf')
        accepted.append(end_s - change.asked_at_s)
    return asked, committed, accepted


def change_table() -> list[str]:
    """Print how soon changes hold and return the missed bounds."""
    missed = []
    print(f'changes: seconds, lease {LEASE_S} s')
    print('scenario  instances  hold p50  worst  after commit  accepted worst')
    for scenario in SCENARIOS:
        for instances, domains, count in ((9, 3, CHANGES), (48, 8, 2)):
            asked, committed, accepted = measure_changes(
                scenario, instances, domains, count
            )
            print(
                f'{scenario:8}  {instances:9}  {median(asked):8.3f}'
                f'  {max(asked):5.2f}  {max(committed):12.2f}'
                f'  {max(accepted):14.2f}'
            )
            name = f'{scenario}, {instances} instances'
            if max(asked) > CHANGE_BOUND_S:
                missed.append(f'change, {name}: {max(asked):.2f} s')
            if max(committed) > LEASE_S + WITHDRAWAL_SLACK_S:
                missed.append(f'withdrawal, {name}: {max(committed):.2f} s')
            if max(accepted) == float('inf'):
                missed.append(f'change, {name}: never accepted')
    return missed


def run() -> list[str]:
    """Print all tables and return the missed bounds."""
    print(
        f'contracts: table round trip {TABLE_ROUND_TRIP_S} s,'
        f' slow {SLOW_ROUND_TRIP_S} s'
    )
    return [*cost_table(), *change_table()]


if __name__ == '__main__':
    raise SystemExit('\n'.join(run()) or 0)
