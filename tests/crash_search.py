"""Search every order of steps, faults and crashes of one program."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from dataclasses import is_dataclass
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from result import Err

import jackdawfield.decisions.commit_events as commits
from jackdawfield.decisions.commits import CommitLimits
from jackdawfield.decisions.commits import Committer
from jackdawfield.decisions.history import History
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.homes import OwnershipState
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.decisions.tails import join_tails
from jackdawfield.decisions.tails import merge_tail
from jackdawfield.decisions.tails import Tail
from jackdawfield.virtual import VirtualTable

PROGRAM = 'd1.p'
ORGANISATION = 'org'
NO_DELAYS = CommitLimits(0.0, 0.0, 0.0, 1.0)
REOPEN_TICK = ev.TimePassed(9.0, 0.0)
EMPTY = History(ORGANISATION, PROGRAM)


@dataclass
class Table(VirtualTable):
    """Holds rows and the transactions that are delayed."""

    late: list[Transaction] = field(default_factory=list)

    def apply(self, transaction: Transaction) -> TransactionOutcome:
        keys = [write.key for write in transaction.writes]
        assert len(set(keys)) == len(keys), (
            'a key is written twice in a transaction'
        )
        return VirtualTable.apply(self, transaction)

    def stored_history(self) -> History:
        return self.history(ORGANISATION, PROGRAM)


@dataclass
class Instance:
    """Holds one instance's state and its pending actions."""

    name: str
    home: ProgramHome
    committer: Committer
    queue: list[object] = field(default_factory=list)

    def on_home(self, event: ev.Event) -> None:
        for action in self.home.on(event):
            match action:
                case ev.RegisterRow(revision):
                    self.on_commits(commits.RowOwned(PROGRAM, revision))
                case ev.Submit(item):
                    self.on_commits(commits.Submitted(item, 0.0))
                case ev.Drop():
                    pass
                case _:
                    self.queue.append(action)

    def on_commits(self, event: commits.Event) -> None:
        for action in self.committer.on(event):
            match action:
                case commits.Durable(item):
                    self.on_home(ev.ItemDurable(item, 0.0))
                case commits.Overdue(item):
                    self.on_home(ev.ItemOverdue(item, 0.0))
                case commits.Fenced():
                    self.on_home(ev.FencedOff(0.0))
                case _:
                    self.queue.append(action)


@dataclass
class Caller:
    """Holds the answers that the caller received and its current call."""

    number: int = 1
    chains: list[bytes] = field(default_factory=list)
    tails: list[Tail] = field(default_factory=list)
    sent_to: list[str] = field(default_factory=list)
    is_sent: bool = False

    def receive_answer(self, answer: ev.Answer) -> None:
        if answer.record.number != self.number:
            return
        self.chains.append(answer.record.chain)
        self.number += 1
        self.sent_to = []
        self.is_sent = False
        if answer.tail is None:
            self.tails = []
        else:
            self.tails.append(answer.tail)

    def call(self, attempt: int) -> ev.CallReceived:
        position = self.chains[-1] if self.chains else None
        body = f'body{self.number}'.encode()
        return ev.CallReceived(
            f'call{self.number}.{attempt}',
            ORGANISATION,
            self.number,
            body,
            0.0,
            0.0,
            position,
            tuple(self.tails),
        )


@dataclass
class Faults:
    """Holds how often each fault may still occur."""

    crashes: int = 1
    lost: int = 1
    late: int = 1
    outages: int = 0
    repeats: int = 1


@dataclass
class SearchState:
    """Holds all state that a step may change; away is a table outage."""

    table: Table
    instances: dict[str, Instance]
    caller: Caller
    faults: Faults
    calls: int
    runs: int = 0
    away: bool = False


FIELDS_BY_CLASS: dict[type, tuple[str, ...]] = {}


def fields_of(kind: type) -> tuple[str, ...]:
    """Return the fields of a mutable data class, none of other classes."""
    if is_dataclass(kind) and not kind.__dataclass_params__.frozen:
        return tuple(item.name for item in fields(kind))
    return ()


def copy(value: Any) -> Any:
    """Return a copy that shares only immutable values."""
    kind = type(value)
    if kind is list or kind is collections.deque:
        return kind(map(copy, value))
    if kind is dict:
        return {key: copy(item) for key, item in value.items()}
    names = FIELDS_BY_CLASS.get(kind)
    if names is None:
        names = FIELDS_BY_CLASS[kind] = fields_of(kind)
    if not names:
        return value
    copied = object.__new__(kind)
    for name in names:
        setattr(copied, name, copy(getattr(value, name)))
    return copied


def digest(value: object) -> bytes:
    """Return a digest that distinguishes states."""
    return blake2b(repr(value).encode(), digest_size=16).digest()


HomeFactory = Callable[[str], ProgramHome]
CommitterFactory = Callable[[], Committer]


def new_home(name: str) -> ProgramHome:
    return ProgramHome(PROGRAM, name)


def new_committer() -> Committer:
    return Committer(NO_DELAYS)


@dataclass
class Search:
    """Visits and checks every state that the fault limits allow."""

    make_home: HomeFactory = new_home
    make_committer: CommitterFactory = new_committer
    states: int = 0

    def start(self, calls: int, faults: Faults) -> SearchState:
        state = SearchState(Table(), {}, Caller(), replace(faults), calls)
        for name in ('a', 'b'):
            state.instances[name] = self.instance(name)
        row = ProgramRow(PROGRAM, ORGANISATION, 'quote', 1, '', 0.0)
        first = state.instances['a']
        first.on_home(ev.BeginRequested('begin', row, 0.0))
        while first.queue:
            next(self.perform(state, first, first.queue[0]))()
        return state

    def instance(self, name: str) -> Instance:
        return Instance(name, self.make_home(name), self.make_committer())

    def run(
        self, calls: int, faults: Faults, limit: int = 10**6
    ) -> str | None:
        state = self.start(calls, faults)
        seen = {digest(state)}
        stack: list[tuple[SearchState, tuple[int, ...]]] = [(state, ())]
        restarted: set[bytes] = set()
        while stack and self.states < limit:
            parent, path = stack.pop()
            self.states += 1
            count = len(list(self.steps(parent)))
            for index in range(count):
                state = copy(parent)
                list(self.steps(state))[index]()
                key = digest(state)
                if key in seen:
                    continue
                seen.add(key)
                fault = self.check(state) or self.check_restart(
                    state, restarted
                )
                if fault:
                    return f'{fault} after steps {(*path, index)}'
                stack.append((state, (*path, index)))
        return None

    # Steps

    def steps(self, state: SearchState) -> Iterator[Callable[[], object]]:
        faults = state.faults
        for late in list(state.table.late):
            yield lambda late=late: self.apply_late(state, late)
        for name, instance in state.instances.items():
            if self.may_send(state, name):
                yield lambda name=name: self.send(state, name)
            for action in list(instance.queue):
                yield from self.perform(state, instance, action)
            if state.away and instance.committer.queues_by_program:
                yield lambda i=instance: i.on_commits(commits.TimePassed(1.0))
            if instance.home.ownership is OwnershipState.ADOPTED:
                if instance.home.open_attempt is None and not state.away:
                    yield lambda i=instance: i.on_home(REOPEN_TICK)
            if faults.crashes:
                yield lambda name=name: self.crash(state, name)
        if faults.outages and not state.away:
            yield lambda: self.start_outage(state)
        if state.away:
            yield lambda: setattr(state, 'away', False)

    def may_send(self, state: SearchState, name: str) -> bool:
        caller = state.caller
        if caller.number > state.calls or name in caller.sent_to:
            return False
        if caller.is_sent and not state.faults.repeats:
            return False
        return True

    def send(self, state: SearchState, name: str) -> None:
        if state.caller.is_sent:
            state.faults.repeats -= 1
        state.caller.is_sent = True
        state.caller.sent_to.append(name)
        if state.instances[name].home.ownership is OwnershipState.LOST:
            self.reset_home(state.instances[name])
        state.instances[name].on_home(state.caller.call(state.faults.repeats))

    def reset_home(self, instance: Instance) -> None:
        instance.home = self.make_home(instance.home.incarnation)

    def start_outage(self, state: SearchState) -> None:
        state.away = True
        state.faults.outages -= 1

    def crash(self, state: SearchState, name: str) -> None:
        state.faults.crashes -= 1
        state.instances[name] = self.instance(name + "'")
        state.caller.sent_to = [n for n in state.caller.sent_to if n != name]

    def apply_late(self, state: SearchState, late: Transaction) -> None:
        state.table.late.remove(late)
        state.table.apply(late)

    def perform(
        self, state: SearchState, instance: Instance, action: object
    ) -> Iterator[Callable[[], object]]:
        def take() -> None:
            instance.queue.remove(action)

        match action:
            case ev.ReadProgram():
                yield lambda: (take(), self.read_program(state, instance))
            case commits.ReadRows(keys):
                yield lambda: (take(), self.read_rows(state, instance, keys))
            case ev.Claim(transaction, _):
                yield from self.write(state, instance, action, transaction)
            case commits.Commit(transaction):
                yield from self.write(state, instance, action, transaction)
            case ev.RunCall(_, number):
                yield lambda: (take(), self.run_call(state, instance, number))
            case ev.Answer():
                yield lambda: (take(), state.caller.receive_answer(action))
                if state.faults.repeats:
                    yield lambda: (take(), self.allow_resend(state, instance))
            case ev.Refuse():
                yield lambda: (take(), self.allow_resend(state, instance))
            case _:
                yield take

    def allow_resend(self, state: SearchState, instance: Instance) -> None:
        names = state.caller.sent_to
        state.caller.sent_to = [n for n in names if n != instance.name[0]]

    def read_program(self, state: SearchState, instance: Instance) -> None:
        if state.away:
            instance.on_home(ev.ReadFailed(0.0))
            return
        rows = state.table.rows(PROGRAM)
        instance.on_home(ev.ProgramRead(rows, 0.0))

    def read_rows(
        self, state: SearchState, instance: Instance, keys: tuple[str, ...]
    ) -> None:
        if state.away:
            instance.on_commits(commits.ReadFailed(0.0))
            return
        rows = tuple(state.table.row(key) for key in keys)
        instance.on_commits(commits.RowsRead(rows, 0.0))

    def run_call(
        self, state: SearchState, instance: Instance, number: int
    ) -> None:
        state.runs += 1
        request = f'body{number}'.encode()
        answer = f'{instance.name} {number} {state.runs}'.encode()
        instance.on_home(ev.TurnFinished(number, request, answer, 1, 0.0))

    def write(
        self,
        state: SearchState,
        instance: Instance,
        action: object,
        transaction: Transaction,
    ) -> Iterator[Callable[[], object]]:
        def settle(outcome: TransactionOutcome) -> None:
            instance.queue.remove(action)
            if isinstance(action, ev.Claim):
                instance.on_home(ev.ClaimAnswered(outcome, 0.0))
            else:
                instance.on_commits(commits.Answered(outcome, 0.0))

        def lose(late: bool) -> None:
            if late:
                state.faults.late -= 1
                state.table.late.append(transaction)
            else:
                state.faults.lost -= 1
                state.table.apply(transaction)
            settle(OutcomeUnknown('lost'))

        if state.away:
            if isinstance(action, ev.Claim):
                yield lambda: settle(NotApplied('away'))
            return
        yield lambda: settle(state.table.apply(transaction))
        if state.faults.lost:
            yield lambda: lose(False)
        if state.faults.late:
            yield lambda: lose(True)

    # Checks

    def check(self, state: SearchState) -> str | None:
        """Return the violation found in a state, None without one."""
        durable = state.table.stored_history()
        tail = join_tails(tuple(state.caller.tails)).unwrap()
        if tail is not None:
            merged = merge_tail(durable, tail)
            if isinstance(merged, Err):
                return f'tail refused: {merged.err_value}'
            durable = merged.ok_value.history
        for number, chain in enumerate(state.caller.chains, 1):
            if len(durable.turns) < number:
                return f'turn {number} lost'
            if durable.chain_at(number) != chain:
                return f'turn {number} replaced'
        for turn in durable.turns:
            if turn.request != f'body{turn.number}'.encode():
                return f'turn {turn.number} has the request of another'
        return self.check_holders(state)

    def check_holders(self, state: SearchState) -> str | None:
        row = state.table.row(row_key(PROGRAM))
        durable = state.table.stored_history()
        for instance in state.instances.values():
            home = instance.home
            held = instance.committer.revisions_by_program.get(PROGRAM)
            if (
                home.ownership is not OwnershipState.HELD
                or held != row.revision
            ):
                continue
            if home.durable_turn > len(durable.turns) and row.revision:
                return 'holder counts a turn as durable that is not'
            if home.history and len(home.history.turns) < len(durable.turns):
                return 'holder lacks a durable turn'
        return None

    def check_restart(
        self, state: SearchState, done: set[bytes]
    ) -> str | None:
        """Finish the calls on a new instance that has only the table.

        Return a violation, None without one.
        """
        key = digest((state.table, state.caller, state.away))
        if key in done or not state.table.rows_by_key:
            return None
        done.add(key)
        fresh: SearchState = copy(state)
        fresh.faults = Faults(0, 0, 0, 0, 0)
        fresh.away = False
        fresh.instances = {'c': self.instance('c')}
        fresh.caller.sent_to = []
        fresh.caller.is_sent = False
        instance = fresh.instances['c']
        while fresh.caller.number <= fresh.calls:
            number = fresh.caller.number
            self.send(fresh, 'c')
            while instance.queue:
                action = instance.queue[0]
                if isinstance(action, ev.Refuse):
                    return f'refused after restart: {action.error}'
                next(iter(self.perform(fresh, instance, action)))()
            if fresh.caller.number == number:
                return 'no answer after restart'
        return self.check(fresh)
