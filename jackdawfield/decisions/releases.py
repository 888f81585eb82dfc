"""Decide which programs' memory the backend servers must release."""

from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId
from jackdawfield.model import Template
from jackdawfield.model import TemplateName

MAX_BATCH_PROGRAMS = 200
RETRY_MIN_S = 0.5
RETRY_MAX_S = 30.0


@dataclass(frozen=True, slots=True)
class HeldReported:
    """Reports the programs that hold memory on a server."""

    server_id: ServerId
    program_ids: frozenset[ProgramId]
    now_s: float


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """Reports an ended program and the servers that may hold its memory."""

    program_id: ProgramId
    server_ids: tuple[ServerId, ...]
    now_s: float


@dataclass(frozen=True, slots=True)
class ProgramsChecked:
    """Reports which of a server's programs are running or finished."""

    server_id: ServerId
    running: frozenset[ProgramId]
    finished: frozenset[ProgramId]
    now_s: float


@dataclass(frozen=True, slots=True)
class ReleaseAnswered:
    """Reports whether a server has confirmed a release."""

    server_id: ServerId
    program_ids: tuple[ProgramId, ...]
    confirmed: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time, so that unconfirmed releases are repeated."""

    now_s: float


Event = (
    HeldReported
    | ProgramEnded
    | ProgramsChecked
    | ReleaseAnswered
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class CheckPrograms:
    """Reads from the table which programs are running or finished."""

    server_id: ServerId
    program_ids: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """Sends a server the idempotent order to free programs' memory."""

    server_id: ServerId
    program_ids: tuple[ProgramId, ...]


Action = CheckPrograms | Release


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """Holds a release that its server has not confirmed."""

    next_send_s: float
    retries: int = 0


@dataclass(frozen=True, slots=True)
class HeldProgram:
    """Holds the times of a program's first report and of its next check."""

    first_s: float
    check_s: float


class Releases:
    """Releases the memory of ended programs and checks for leftovers.

    A program is first checked when a server has reported it for grace_s
    seconds, then each time that age has doubled.
    """

    def __init__(self, grace_s: float) -> None:
        """Start without releases and held programs."""
        self._grace_s = grace_s
        self._pending: dict[ServerId, dict[ProgramId, PendingRelease]] = {}
        self._held_programs: dict[ServerId, dict[ProgramId, HeldProgram]] = {}

    def on(self, event: Event) -> tuple[Action, ...]:
        """Apply an event and return the actions that follow."""
        match event:
            case ProgramEnded(program_id, server_ids, now_s):
                for server_id in server_ids:
                    self._add_release(server_id, program_id, now_s)
                return self._send_due(now_s)
            case HeldReported():
                return self._held_reported(event)
            case ProgramsChecked():
                return self._checked(event)
            case ReleaseAnswered():
                self._answered(event)
                return ()
            case TimePassed(now_s):
                return self._send_due(now_s)

    @property
    def unconfirmed_count(self) -> int:
        """Return the number of releases that are not confirmed."""
        return sum(len(found) for found in self._pending.values())

    def retain_servers(self, server_ids: frozenset[ServerId]) -> None:
        """Drop the state of all servers that are not in the set."""
        for by_server in (self._pending, self._held_programs):
            for server_id in by_server.keys() - server_ids:
                del by_server[server_id]

    def _add_release(
        self, server_id: ServerId, program_id: ProgramId, now_s: float
    ) -> None:
        pending = self._pending.setdefault(server_id, {})
        pending.setdefault(program_id, PendingRelease(now_s))

    def _send_due(self, now_s: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for server_id, pending in self._pending.items():
            due = [
                p for p, item in pending.items() if item.next_send_s <= now_s
            ]
            for program_id in due:
                retries = pending[program_id].retries
                wait_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**retries)
                pending[program_id] = PendingRelease(
                    now_s + wait_s, min(retries + 1, 16)
                )
            actions.extend(
                Release(
                    server_id, tuple(due[first : first + MAX_BATCH_PROGRAMS])
                )
                for first in range(0, len(due), MAX_BATCH_PROGRAMS)
            )
        return tuple(actions)

    def _held_reported(self, event: HeldReported) -> tuple[Action, ...]:
        previous = self._held_programs.get(event.server_id, {})
        new = HeldProgram(event.now_s, event.now_s + self._grace_s)
        held_programs = {p: previous.get(p, new) for p in event.program_ids}
        self._held_programs[event.server_id] = held_programs
        due = sorted(
            p
            for p, held in held_programs.items()
            if held.check_s <= event.now_s
        )
        return tuple(
            CheckPrograms(
                event.server_id, tuple(due[first : first + MAX_BATCH_PROGRAMS])
            )
            for first in range(0, len(due), MAX_BATCH_PROGRAMS)
        )

    def _checked(self, event: ProgramsChecked) -> tuple[Action, ...]:
        held_programs = self._held_programs.setdefault(event.server_id, {})
        for program_id in event.running & held_programs.keys():
            first_s = held_programs[program_id].first_s
            age_s = max(self._grace_s, event.now_s - first_s)
            held_programs[program_id] = HeldProgram(
                first_s, event.now_s + age_s
            )
        for program_id in sorted(event.finished):
            self._add_release(event.server_id, program_id, event.now_s)
        return self._send_due(event.now_s)

    def _answered(self, event: ReleaseAnswered) -> None:
        if not event.confirmed:
            return
        pending = self._pending.get(event.server_id, {})
        for program_id in event.program_ids:
            pending.pop(program_id, None)


def is_finished(
    row: ProgramRow | None,
    templates_by_name: Mapping[TemplateName, Template],
    now_unix_s: float,
) -> bool:
    """Return whether a program is absent, ended or past its deadline."""
    if row is None or row.end_reason is not None:
        return True
    template = templates_by_name.get(row.template_name)
    if template is None:
        return False
    return now_unix_s - row.started_unix_s >= template.deadline_s
