"""Measure the control overhead of idle daemons at several fleet sizes."""

from dataclasses import dataclass
import json
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from jackdawfield.model import Configuration  # noqa: E402
from jackdawfield.model import Organisation  # noqa: E402
from jackdawfield.model import OrganisationId  # noqa: E402
from jackdawfield.model import TemplateParameters  # noqa: E402
from scripts.measure_path import processor_s  # noqa: E402
from scripts.measure_path import resident_mb  # noqa: E402
from tests.fleet import configuration  # noqa: E402
from tests.fleet import Fleet  # noqa: E402
from tests.fleet import MODEL  # noqa: E402
from tests.fleet import TEMPLATE  # noqa: E402

DOMAINS = tuple((f'domain-{n}', f'region-{n % 3}') for n in range(8))
DAEMONS_PER_DOMAIN = (1, 2, 4, 8)
ORGANISATIONS = (2, 500, 1_000, 1_900)
WINDOW_S = 8.0
SETTLE_S = 3.0


@dataclass(frozen=True, slots=True)
class Sample:
    """Holds the average costs of one daemon over a window."""

    instances: int
    organisations: int
    core_percent: float
    resident_mb: float
    table_reads_per_s: float
    table_writes_per_s: float


def build_configuration(count: int) -> Configuration:
    """Return the tests' configuration extended to some organisations."""
    base = configuration()
    organisations = dict(base.organisations_by_id)
    for number in range(count - len(organisations)):
        name = OrganisationId(f'organisation-{number}')
        organisations[name] = Organisation(
            name,
            2.0,
            5,
            parameters_by_template={
                TEMPLATE: TemplateParameters(100_000, frozenset({MODEL}))
            },
        )
    return Configuration(
        base.version,
        organisations,
        base.templates_by_name,
        base.routes_by_name,
        base.keys_by_id,
    )


def measure_idle_fleet(per_domain: int, organisations: int) -> Sample:
    """Return the average costs of a daemon in an idle fleet."""
    fleet = Fleet(
        domains=DOMAINS,
        daemons_per_domain=per_domain,
        configuration_value=build_configuration(organisations),
        settings={'log_level': 'warning'},
        list_interval_s=1.0,
    )
    try:
        daemons = list(fleet.daemons_by_name.values())
        time.sleep(SETTLE_S)
        counts_before = fleet.table.get('/counts')
        before_s = sum(processor_s(d) for d in daemons)
        started_s = time.monotonic()
        time.sleep(WINDOW_S)
        elapsed_s = time.monotonic() - started_s
        used_s = sum(processor_s(d) for d in daemons) - before_s
        counts_after = fleet.table.get('/counts')
        average_resident_mb = sum(resident_mb(d) for d in daemons) / len(
            daemons
        )
    finally:
        fleet.close()
    reads = counts_after.get('read', 0) - counts_before.get('read', 0)
    writes = counts_after.get('write', 0) - counts_before.get('write', 0)
    daemon_seconds = len(daemons) * elapsed_s
    return Sample(
        len(daemons),
        organisations,
        round(used_s / daemon_seconds * 100, 2),
        round(average_resident_mb, 1),
        round(reads / daemon_seconds, 3),
        round(writes / daemon_seconds, 3),
    )


def main() -> int:
    """Print one JSON line for each size and return the exit code."""
    sizes = [(per_domain, 2) for per_domain in DAEMONS_PER_DOMAIN]
    sizes += [(1, count) for count in ORGANISATIONS[1:]]
    for per_domain, organisations in sizes:
        sample = measure_idle_fleet(per_domain, organisations)
        names = Sample.__dataclass_fields__
        print(json.dumps({name: getattr(sample, name) for name in names}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
