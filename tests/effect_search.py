"""Search every order of steps and faults around one effect."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from jackdawfield.decisions.effect_events import Answer
from jackdawfield.decisions.effect_events import Dispatch
from jackdawfield.decisions.effect_events import EffectContext
from jackdawfield.decisions.effect_events import LimitReached
from jackdawfield.decisions.effect_events import NotRun
from jackdawfield.decisions.effect_events import NotSent
from jackdawfield.decisions.effect_events import Ran
from jackdawfield.decisions.effect_events import Read
from jackdawfield.decisions.effect_events import ReadFailed
from jackdawfield.decisions.effect_events import Reject
from jackdawfield.decisions.effect_events import Requested
from jackdawfield.decisions.effect_events import Responded
from jackdawfield.decisions.effect_events import ResponseLost
from jackdawfield.decisions.effect_events import RowRead
from jackdawfield.decisions.effect_events import Write
from jackdawfield.decisions.effect_events import WriteAnswered
from jackdawfield.decisions.effect_rows import decode_effect
from jackdawfield.decisions.effect_rows import EffectKey
from jackdawfield.decisions.effect_rows import RowState
from jackdawfield.decisions.effect_rows import settle_transaction
from jackdawfield.decisions.effects import CLAIM_VALID_S
from jackdawfield.decisions.effects import Effect
from jackdawfield.decisions.effects import EffectState
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row

KEY = EffectKey('org', 'program', 1)
CLOCK_STEP_S = CLAIM_VALID_S + 1
_COMPARED_FIELDS = tuple(
    name
    for name in Effect.__slots__
    if name not in ('_retry_count', '_key', '_guards', '_claim_sent_s')
)


@dataclass(frozen=True, slots=True)
class Budget:
    """Holds how often each kind of step may still be taken."""

    requests: int = 2
    crashes: int = 1
    lapses: int = 1
    faults: int = 1
    settlements: int = 1


@dataclass(slots=True)
class Node:
    """Holds one instance with its messages and calls in flight."""

    name: str
    incarnation_number: int = 0
    effect: Effect | None = None
    waiting: int = 0
    is_lease_valid: bool = True
    has_lapsed: bool = False
    lapsed_s: float = 0.0
    sent: tuple = ()
    undelivered: tuple = ()
    is_serving: bool = False
    is_sending: bool = False

    def incarnation(self) -> str:
        return f'{self.name}{self.incarnation_number}'


@dataclass(slots=True)
class World:
    """Holds the state of the search outside the code under test."""

    budget: Budget
    nodes: tuple
    row: Row | None = None
    revision: int = 0
    delayed_writes: frozenset = frozenset()
    runs: int = 0
    now_s: float = 0.0
    is_settled_not_run: bool = False
    dead: frozenset = frozenset()
    violations: list = field(default_factory=list)

    def key(self):
        nodes = tuple(
            (
                _effect_key(n.effect, self.now_s),
                n.incarnation_number,
                n.waiting,
                n.is_lease_valid,
                n.has_lapsed,
                self.now_s - n.lapsed_s > CLAIM_VALID_S,
                n.sent,
                n.undelivered,
                n.is_serving,
            )
            for n in self.nodes
        )
        return (
            nodes,
            self.budget,
            self.row,
            self.delayed_writes,
            self.runs,
            self.is_settled_not_run,
            self.dead,
        )


def _effect_key(effect, now_s):
    if effect is None:
        return None
    is_claim_expired = now_s - effect._claim_sent_s > CLAIM_VALID_S
    return (
        is_claim_expired,
        *(getattr(effect, name) for name in _COMPARED_FIELDS),
    )


_WORLD_FIELDS = World.__slots__
_NODE_FIELDS = Node.__slots__


class Search:
    """Explores breadth-first and stops at the first violation."""

    def __init__(self, effect_class, budget, has_sole_owner):
        self._effect_class = effect_class
        self._budget = budget
        self._has_sole_owner = has_sole_owner
        self.states = 0

    def run(self, limit=1_000_000) -> list:
        """Return the violations of the first state that has any."""
        initial = World(self._budget, (Node('a'), Node('b')))
        visited = {initial.key()}
        queue = deque([initial])
        while queue and self.states < limit:
            world = queue.popleft()
            self.states += 1
            for following in self._branches(world):
                if following.violations:
                    return following.violations
                _drop_stale(following)
                key = following.key()
                if key not in visited:
                    visited.add(key)
                    queue.append(following)
        return []

    def _branches(self, world):
        for following in self._steps(world):
            for index, node in enumerate(following.nodes):
                if not node.is_sending:
                    continue
                node.is_sending = False
                if following.budget.faults and not following.violations:
                    new = _fork(following, faults=1)
                    new.runs -= 1
                    yield self._deliver_served(new, index, NotSent('refused'))
            yield following

    def _steps(self, world):
        for index in (0, 1):
            yield from self._node_steps(world, index)
        yield from self._table_steps(world)
        new = _fork(world)
        new.now_s += CLOCK_STEP_S
        yield new

    def _node_steps(self, world, index):
        node = world.nodes[index]
        yield from self._request_steps(world, index)
        yield from self._answer_steps(world, index)
        if node.effect and node.effect.state in (
            EffectState.CLAIMING,
            EffectState.READING,
        ):
            yield self._deliver(_fork(world), index, LimitReached())
        if node.is_serving:
            yield self._deliver_served(_fork(world), index, Responded(b'ok'))
        if node.is_serving and world.budget.faults:
            new = _fork(world, faults=1)
            yield self._deliver_served(new, index, ResponseLost('reset'))
        if world.budget.crashes and node.effect:
            yield self._crash(world, index)
        if world.budget.lapses and node.is_lease_valid and index == 0:
            new = _fork(world, lapses=1)
            new.nodes[index].is_lease_valid = False
            new.nodes[index].has_lapsed = True
            new.nodes[index].lapsed_s = new.now_s
            yield new
        if not node.is_lease_valid:
            new = _fork(world)
            new.nodes[index].is_lease_valid = True
            yield new

    def _deliver_served(self, world, index, event):
        world.nodes[index].is_serving = False
        return self._deliver(world, index, event)

    def _request_steps(self, world, index):
        if not world.budget.requests:
            return
        first = world.nodes[0]
        if self._has_sole_owner and index == 1:
            if not first.has_lapsed and not first.incarnation_number:
                return
        new = _fork(world, requests=1)
        node = new.nodes[index]
        if node.effect is None:
            node.effect = self._effect_class(
                KEY, node.incarnation()[:2], node.incarnation()
            )
        node.waiting += 1
        yield self._deliver(new, index, Requested('sha'))

    def _answer_steps(self, world, index):
        node = world.nodes[index]
        for position, (operation, value) in enumerate(node.sent):
            new = _fork(world)
            new.nodes[index].sent = _without(node.sent, position)
            if value is None:
                answer = RowRead(
                    operation, world.row, self._is_dispatcher_gone(world)
                )
                new.nodes[index].undelivered += (answer,)
                yield new
                if world.budget.faults:
                    new = _fork(new, faults=1)
                    new.nodes[index].undelivered = node.undelivered
                    yield self._deliver(new, index, ReadFailed(operation))
                continue
            outcome = _transact(new, value)
            new.nodes[index].undelivered += (
                WriteAnswered(operation, outcome),
            )
            yield new
            if not world.budget.faults:
                continue
            for fault in (NotApplied('away'), OutcomeUnknown('lost')):
                new = _fork(world, faults=1)
                new.nodes[index].sent = _without(node.sent, position)
                if isinstance(fault, OutcomeUnknown):
                    new.delayed_writes |= {value}
                event = WriteAnswered(operation, fault)
                yield self._deliver(new, index, event)
        for position, event in enumerate(node.undelivered):
            new = _fork(world)
            new.nodes[index].undelivered = _without(node.undelivered, position)
            yield self._deliver(new, index, event)

    def _table_steps(self, world):
        for value in world.delayed_writes:
            new = _fork(world)
            new.delayed_writes -= {value}
            _transact(new, value)
            yield new
        if not world.budget.settlements or world.row is None:
            return
        gone = frozenset()
        if self._is_dispatcher_gone(world):
            gone = frozenset({decode_effect(world.row).unwrap().dispatcher})
        verdict = RowState.RAN if world.runs else RowState.NOT_RUN
        write = settle_transaction(world.row, verdict, 'ops', gone)
        if write.is_ok():
            new = _fork(world, settlements=1)
            _transact(new, write.ok_value)
            new.is_settled_not_run = verdict is RowState.NOT_RUN
            yield new

    def _is_dispatcher_gone(self, world):
        if world.row is None:
            return False
        dispatcher = decode_effect(world.row).unwrap().dispatcher
        if dispatcher in world.dead:
            return True
        for node in world.nodes:
            if (
                node.incarnation()[:2] == dispatcher
                and not node.is_lease_valid
            ):
                return world.now_s - node.lapsed_s > CLAIM_VALID_S
        return False

    def _crash(self, world, index):
        new = _fork(world, crashes=1)
        node = new.nodes[index]
        new.dead |= {node.incarnation()[:2]}
        writes = {value for _, value in node.sent if value is not None}
        new.delayed_writes |= writes
        node.effect = None
        node.incarnation_number += 1
        node.waiting = 0
        node.sent = node.undelivered = ()
        node.is_serving = False
        return new

    def _deliver(self, world, index, event):
        node = world.nodes[index]
        if node.effect is None:
            return world
        is_sole_owner = self._has_sole_owner and index == 0
        is_sole_owner = (
            is_sole_owner
            and not node.has_lapsed
            and node.incarnation_number == 0
        )
        context = EffectContext(
            world.now_s, node.is_lease_valid, is_sole_owner
        )
        for action in node.effect.on(event, context):
            self._apply_action(world, index, action)
        return world

    def _apply_action(self, world, index, action):
        node = world.nodes[index]
        match action:
            case Write(operation, transaction):
                node.sent += ((operation, transaction),)
            case Read(operation):
                node.sent += ((operation, None),)
            case Dispatch():
                world.runs += 1
                node.is_serving = node.is_sending = True
                if world.runs > 1:
                    world.violations.append('ran twice')
                if world.is_settled_not_run:
                    world.violations.append(
                        'ran after it was settled as not run'
                    )
                if not node.waiting:
                    world.violations.append(
                        'ran after each request was answered'
                    )
            case Answer(answer):
                _check_answer(world, answer)
                node.waiting = 0
            case Reject(answer):
                _check_answer(world, answer)
                node.waiting -= 1


def _check_answer(world, answer):
    if isinstance(answer, NotRun) and world.runs:
        world.violations.append('answer said not run of an effect that ran')
    if isinstance(answer, Ran) and not world.runs:
        world.violations.append(
            'answer said ran of an effect that did not run'
        )


def _clone(source, names):
    new = object.__new__(type(source))
    for name in names:
        setattr(new, name, getattr(source, name))
    return new


def _fork(world, **spent):
    new = _clone(world, _WORLD_FIELDS)
    new.nodes = tuple(_clone(node, _NODE_FIELDS) for node in world.nodes)
    for node in new.nodes:
        if node.effect:
            node.effect = _clone(node.effect, Effect.__slots__)
    new.violations = []
    for name, count in spent.items():
        left = getattr(world.budget, name) - count
        new.budget = replace(new.budget, **{name: left})
    return new


def _transact(world, transaction):
    condition = transaction.conditions[0]
    current = world.row.revision if world.row else 0
    if condition.revision != current:
        return Conflict()
    world.revision += 1
    write = transaction.writes[0]
    world.row = Row(write.key, write.value, world.revision)
    return Committed(world.revision)


def _without(items, position):
    return items[:position] + items[position + 1 :]


def _drop_stale(world):
    for node in world.nodes:
        if node.effect and node.effect.state is EffectState.DONE:
            node.effect = None
            node.incarnation_number += 1
        current = node.effect._operation if node.effect else None
        stale = {
            value
            for operation, value in node.sent
            if operation != current and value is not None
        }
        world.delayed_writes |= stale
        node.sent = tuple(s for s in node.sent if s[0] == current)
        node.undelivered = tuple(
            e for e in node.undelivered if e.operation == current
        )
    revision = world.row.revision if world.row else 0
    world.delayed_writes = frozenset(
        item
        for item in world.delayed_writes
        if item.conditions[0].revision >= revision
    )
