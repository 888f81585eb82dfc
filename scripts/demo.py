"""Demonstrate calls through several daemons in separate processes."""

from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from jackdawfield.cmdline import main as run_tool  # noqa: E402
from tests.fleet import DaemonProcess  # noqa: E402
from tests.fleet import Fleet  # noqa: E402
from tests.fleet import http  # noqa: E402
from tests.fleet import key  # noqa: E402
from tests.fleet import OPERATOR_TOKEN  # noqa: E402
from tests.fleet import Program  # noqa: E402
from tests.fleet import secret  # noqa: E402

DOMAINS = (('centro-leon', 'centro'), ('mty-apodaca', 'monterrey'))


def print_step(title: str, value: object) -> None:
    """Print one step of the demonstration."""
    print(f'{title:<38} {value}')


def check_withdrawal(fleet: Fleet, daemons: list[DaemonProcess]) -> bool:
    """Withdraw a key by command line; return whether all daemons refuse it."""
    token = fleet.directory / 'token'
    token.write_text(OPERATOR_TOKEN)
    exit_code = run_tool(
        [
            '--url',
            daemons[0].operator_url,
            '--token-file',
            str(token),
            'keys',
            'withdraw',
            'keyshakers',
        ]
    )
    statuses = [
        http(
            'POST',
            f'{daemon.caller_url}/v1/programs',
            {'template': 'mesh-advisor'},
            {'Authorization': f'Bearer {key("shakers")}'},
        ).status
        for daemon in daemons
    ]
    print_step('withdrawn key at every daemon', statuses)
    return exit_code == 0 and set(statuses) == {401}


def run_demo(fleet: Fleet) -> bool:
    """Run a program with a sub-agent; return whether all checks passed."""
    daemons = list(fleet.daemons_by_name.values())
    program = Program(daemons[0])
    print_step('program begun', program.program_id)
    checks = []
    for turn, daemon in enumerate(daemons, 1):
        response = program.chat(daemon, f'Turn {turn}: which mesh?')
        checks.append(response.status == 200)
        text = response.json()['choices'][0]['message']['content']
        print_step(f'turn {turn} through {daemon.name}', text[:30])
    child = Program(daemons[0], parent=program.program_id)
    checks.append(child.chat(daemons[-1], 'Check stock').status == 200)
    print_step('sub-agent', child.program_id)
    booking_response = program.service(daemons[1], body={'pickup': 'tomorrow'})
    checks.append(booking_response.status == 200)
    print_step('pickup booked, not repeatable', booking_response.text)
    number = program.next_call - 1
    repeated_response = program.service(
        daemons[2], body={'pickup': 'tomorrow'}, number=number
    )
    print_step(
        'same call sent again',
        f'{repeated_response.status} {repeated_response.text[:60]}',
    )
    execution_count = sum(len(s.get('/runs')) for s in fleet.services)
    checks.append(execution_count == 1)
    print_step('runs counted by the service', execution_count)
    guessed_key = key('sieves').replace(secret('sieves'), secret('guessed'))
    refused_response = http(
        'POST',
        f'{daemons[0].caller_url}/v1/programs',
        {'template': 'mesh-advisor'},
        {'Authorization': f'Bearer {guessed_key}'},
    )
    checks.append(refused_response.status == 401)
    print_step(
        'wrong key', f'{refused_response.status} {refused_response.text[:60]}'
    )
    checks.append(check_withdrawal(fleet, daemons))
    for started_program in (child, program):
        end_response = started_program.end(daemons[0])
        checks.append(end_response.status == 200)
        print_step('program ended', end_response.text)
    for daemon in daemons:
        print_step(f'state of {daemon.name}', daemon.status())
    return all(checks)


def main() -> int:
    """Run the demonstration and return the process exit code."""
    fleet = Fleet(domains=DOMAINS, daemons_per_domain=2)
    try:
        succeeded = run_demo(fleet)
    finally:
        fleet.close()
    print('demo: ok' if succeeded else 'demo: failed')
    return 0 if succeeded else 1


if __name__ == '__main__':
    sys.exit(main())
