"""Measure how soon changes are in force everywhere and the lease costs."""

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
WARM_UP_S = 15.0
MEASURE_S = 15.0
CHANGE_COUNT = 5
SIZES_BY_STORE_STATE = {
    'up': ((9, 3), (48, 8), (410, 8)),
    'down': ((9, 3), (24, 8), (48, 8), (96, 8)),
}
SCENARIOS = ('healthy', 'slow', 'down', 'cut', 'paused')


@dataclass(frozen=True, slots=True)
class Cost:
    """Holds rates per second: mean and worst instance, and the table."""

    messages: float
    worst_messages: float
    bytes: float
    worst_bytes: float
    reads: float
    writes: float


def measure_cost(instances: int, domains: int, is_store_up: bool) -> Cost:
    """Return the cost of renewing all leases, without changes."""
    fleet = VirtualFleet(instances, domains, seed=1)
    fleet.clock.run_until(WARM_UP_S)
    fleet.table.is_up = is_store_up
    fleet.clock.run_until(2 * WARM_UP_S)
    before = {
        name: (item.counts.messages, item.counts.message_bytes)
        for name, item in fleet.instances.items()
    }
    reads, writes = fleet.table.reads, fleet.table.writes
    fleet.clock.run_until(2 * WARM_UP_S + MEASURE_S)
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
        raise AssertionError('a connected instance lost its lease')
    return Cost(
        sum(rate[0] for rate in rates) / instances,
        max(rate[0] for rate in rates),
        sum(rate[1] for rate in rates) / instances,
        max(rate[1] for rate in rates),
        (fleet.table.reads - reads) / MEASURE_S,
        (fleet.table.writes - writes) / MEASURE_S,
    )


def check_costs() -> list[str]:
    """Print the cost by size and return the missed bounds."""
    missed = []
    print('lease upkeep, rates a second: mean (worst) instance, whole table')
    print('store  instances  messages        bytes            reads  writes')
    for store_state, fleet_sizes in SIZES_BY_STORE_STATE.items():
        for instances, domains in fleet_sizes:
            cost = measure_cost(instances, domains, store_state == 'up')
            print(
                f'{store_state:5}  {instances:9}'
                f'  {cost.messages:5.1f} ({cost.worst_messages:5.1f})'
                f'  {cost.bytes:7.0f} ({cost.worst_bytes:6.0f})'
                f'  {cost.reads:5.1f}  {cost.writes:6.1f}'
            )
            name = f'lease upkeep, store {store_state}, {instances} instances'
            worst_bytes = (
                cost.worst_bytes if store_state == 'up' else cost.bytes
            )
            if worst_bytes > CONTROL_BYTES_PER_S:
                missed.append(f'{name}: {worst_bytes:.0f} bytes/s')
            if cost.reads > TABLE_READS_PER_S or cost.writes > 0:
                missed.append(f'{name}: table reads or writes')
    return missed


def measure_changes(
    scenario: str, instances: int, domains: int, count: int
) -> tuple[list[float], list[float], list[float]]:
    """Return the seconds until changes are in force and accepted.

    The first list is from the request until in force, the second from the
    commit until in force, the third from the request until accepted.
    """
    fleet = VirtualFleet(instances, domains, seed=2)
    if scenario == 'slow':
        fleet.table.round_trip_s = SLOW_ROUND_TRIP_S
    fleet.clock.run_until(WARM_UP_S)
    fault = scenario if scenario in ('down', 'cut', 'paused') else ''
    after_request, after_commit, until_accepted = [], [], []
    for number in range(1, count + 1):
        change = fleet.run_change(number, fault, limit_s=2.5 * LEASE_S)
        for in_force_at_s in change.in_force_at_s_by_id.values():
            after_request.append(in_force_at_s - change.requested_at_s)
            after_commit.append(in_force_at_s - change.committed_at_s)
        end_s = change.accepted_at_s or float('inf')
        until_accepted.append(end_s - change.requested_at_s)
    return after_request, after_commit, until_accepted


def check_changes() -> list[str]:
    """Print how soon changes are in force and return the missed bounds."""
    missed = []
    print(f'changes: seconds, lease {LEASE_S} s')
    print('scenario  instances  hold p50  worst  after commit  accepted worst')
    for scenario in SCENARIOS:
        for instances, domains, count in ((9, 3, CHANGE_COUNT), (48, 8, 2)):
            after_request, after_commit, until_accepted = measure_changes(
                scenario, instances, domains, count
            )
            print(
                f'{scenario:8}  {instances:9}  {median(after_request):8.3f}'
                f'  {max(after_request):5.2f}  {max(after_commit):12.2f}'
                f'  {max(until_accepted):14.2f}'
            )
            name = f'{scenario}, {instances} instances'
            if max(after_request) > CHANGE_BOUND_S:
                missed.append(f'change, {name}: {max(after_request):.2f} s')
            if max(after_commit) > LEASE_S + WITHDRAWAL_SLACK_S:
                missed.append(f'withdrawal, {name}: {max(after_commit):.2f} s')
            if max(until_accepted) == float('inf'):
                missed.append(f'change, {name}: never accepted')
    return missed


def run() -> list[str]:
    """Print all tables and return the missed bounds."""
    print(
        f'contracts: table round trip {TABLE_ROUND_TRIP_S} s,'
        f' slow {SLOW_ROUND_TRIP_S} s'
    )
    return [*check_costs(), *check_changes()]


if __name__ == '__main__':
    raise SystemExit('\n'.join(run()) or 0)
