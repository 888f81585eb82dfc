"""Measure the latency of each path relative to direct calls in one run.

A program's home is the daemon that owns the program's state. A pool's
steward is the daemon that grants the slots of the pool's servers.
"""

from concurrent.futures import ThreadPoolExecutor
import json
from pathlib import Path
import statistics
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.fleet import DaemonProcess  # noqa: E402
from tests.fleet import Fleet  # noqa: E402
from tests.fleet import http  # noqa: E402
from tests.fleet import Program  # noqa: E402

CALLS = 300
CONCURRENT_PROGRAMS = 8
BODY = {
    'model': 'mesh-model',
    'messages': [{'role': 'user', 'content': 'Which mesh?'}],
    'max_tokens': 8,
}
MS_PER_S = 1000
KB_PER_MB = 1024


def percentiles(samples_s: list[float]) -> tuple[float, float, float]:
    """Return p50, p95 and p99 in milliseconds."""
    cuts = statistics.quantiles(samples_s, n=100)
    return cuts[49] * MS_PER_S, cuts[94] * MS_PER_S, cuts[98] * MS_PER_S


def time_direct_calls(fleet: Fleet) -> list[float]:
    """Return the times in seconds of calls sent directly to the engine."""
    url = f'{fleet.engines[0].url}/v1/chat/completions'
    samples_s = []
    for _ in range(CALLS):
        started_s = time.perf_counter()
        http('POST', url, BODY, {'X-Program': 'direct'})
        samples_s.append(time.perf_counter() - started_s)
    return samples_s


def time_daemon_calls(
    daemon: DaemonProcess, owner: DaemonProcess
) -> list[float]:
    """Return the times in seconds of calls sent through a daemon.

    The owner is the home of the programs, which the daemon forwards to.
    """
    samples_s: list[float] = []
    while len(samples_s) < CALLS:
        program = Program(owner)
        for _ in range(10):
            started_s = time.perf_counter()
            answer = program.chat(daemon)
            samples_s.append(time.perf_counter() - started_s)
            if answer.status != 200:
                raise AssertionError(answer)
    return samples_s


def resident_mb(daemon: DaemonProcess) -> float:
    """Return a daemon's resident memory in MB."""
    assert daemon.process is not None
    status = Path(f'/proc/{daemon.process.child.pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


def processor_s(daemon: DaemonProcess) -> float:
    """Return a daemon's processor time in seconds."""
    assert daemon.process is not None
    path = Path(f'/proc/{daemon.process.child.pid}/stat')
    fields = path.read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure_load(daemons: list[DaemonProcess]) -> tuple[float, float]:
    """Return calls per second and processor milliseconds per call."""
    before_s = sum(processor_s(d) for d in daemons)
    started_s = time.perf_counter()

    def run_program(number: int) -> int:
        program = Program(daemons[number % len(daemons)])
        for turn in range(20):
            program.chat(daemons[(number + turn) % len(daemons)])
        return 20

    with ThreadPoolExecutor(CONCURRENT_PROGRAMS) as pool:
        calls = sum(pool.map(run_program, range(CONCURRENT_PROGRAMS * 4)))
    elapsed_s = time.perf_counter() - started_s
    used_s = sum(processor_s(d) for d in daemons) - before_s
    return calls / elapsed_s, used_s / calls * MS_PER_S


def main() -> int:
    """Print the table and return the process exit code."""
    samples_s_by_path = {}
    single = Fleet(daemons_per_domain=1)
    try:
        samples_s_by_path['direct to the engine'] = time_direct_calls(single)
        daemon = single.first_daemon()
        samples_s_by_path['entry is home and steward'] = time_daemon_calls(
            daemon, daemon
        )
    finally:
        single.close()
    fleet = Fleet(daemons_per_domain=3)
    try:
        daemons = list(fleet.daemons_by_name.values())
        samples_s_by_path['three daemons, any entry'] = time_daemon_calls(
            daemons[0], daemons[1]
        )
        calls_per_s, processor_ms = measure_load(daemons)
        memory_mb = [round(resident_mb(d), 1) for d in daemons]
    finally:
        fleet.close()
    direct_ms = percentiles(samples_s_by_path['direct to the engine'])
    print(f'{"path":<28}{"p50 ms":>9}{"p95 ms":>9}{"p99 ms":>9}  ratios')
    for name, samples_s in samples_s_by_path.items():
        values_ms = percentiles(samples_s)
        ratios = [
            f'{v / b:.2f}' for v, b in zip(values_ms, direct_ms, strict=True)
        ]
        cells = ''.join(f'{value:>9.2f}' for value in values_ms)
        print(f'{name:<28}{cells}  {" ".join(ratios)}')
    print(
        f'calls per second with {CONCURRENT_PROGRAMS} programs:'
        f' {calls_per_s:.0f}'
    )
    print(f'processor ms per call over all daemons: {processor_ms:.2f}')
    print(f'resident MB per daemon: {json.dumps(memory_mb)}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
