"""Load state charts from data files, validate and interpret them."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from importlib import resources
from typing import Generic
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

State = TypeVar('State', bound=Enum)
Event = TypeVar('Event', bound=Enum)


class ChartError(Exception):
    """Reports a chart file that is not valid."""


@dataclass(frozen=True, slots=True)
class TransitionRefused:
    """Reports an event for which a state has no transition."""

    state: str
    event: str


class TransitionSpec(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={'source': 'from'},
):
    """Represents one transition of a chart file."""

    source: tuple[str, ...]
    event: str
    to: str


class ChartSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represents the contents of a chart file."""

    initial: str
    states: tuple[str, ...]
    events: tuple[str, ...]
    final: tuple[str, ...]
    transitions: tuple[TransitionSpec, ...]


class Chart(Generic[State, Event]):
    """Holds the transitions of one chart; callers keep the current state."""

    __slots__ = ('_final', '_next_states', 'initial')

    def __init__(
        self, spec: ChartSpec, states: type[State], events: type[Event]
    ) -> None:
        """Build the transition table of a validated chart."""
        self.initial: State = states(spec.initial)
        self._final = frozenset(states(name) for name in spec.final)
        self._next_states: dict[tuple[State, Event], State] = {
            (states(source), events(item.event)): states(item.to)
            for item in spec.transitions
            for source in item.source
        }

    def fire(
        self, state: State, event: Event
    ) -> Result[State, TransitionRefused]:
        """Return the next state, or an error if there is no transition."""
        next_state = self._next_states.get((state, event))
        if next_state is None:
            return Err(TransitionRefused(state.value, event.value))
        return Ok(next_state)

    def accepts(self, state: State, event: Event) -> bool:
        """Return whether a state has a transition for an event."""
        return (state, event) in self._next_states

    def is_final(self, state: State) -> bool:
        """Return whether a state is final."""
        return state in self._final


def load(
    name: str, states: type[State], events: type[Event]
) -> Chart[State, Event]:
    """Load a packaged chart; raise ChartError if it is not valid."""
    path = resources.files('jackdawfield') / 'charts' / f'{name}.json'
    return parse(path.read_bytes(), states, events)


def parse(
    content: bytes, states: type[State], events: type[Event]
) -> Chart[State, Event]:
    """Build a chart from JSON; raise ChartError if it is not valid."""
    try:
        spec = msgspec.json.decode(content, type=ChartSpec)
    except msgspec.MsgspecError as error:
        raise ChartError(str(error)) from error
    _check_names('states', spec.states, states)
    _check_names('events', spec.events, events)
    _check_transitions(spec)
    _check_reachable(spec)
    return Chart(spec, states, events)


def _check_names(
    kind: str, names: tuple[str, ...], members: Iterable[Enum]
) -> None:
    expected = {member.value for member in members}
    if len(set(names)) != len(names):
        raise ChartError(f'{kind} contain duplicates')
    if set(names) != expected:
        difference = sorted(set(names) ^ expected)
        raise ChartError(f'{kind} differ from the code: {difference}')


def _check_transitions(spec: ChartSpec) -> None:
    seen: set[tuple[str, str]] = set()
    for item in spec.transitions:
        for source in item.source:
            _check_transition(spec, source, item)
            if (source, item.event) in seen:
                raise ChartError(
                    f'duplicate transition of {source} for {item.event}'
                )
            seen.add((source, item.event))
    unused = set(spec.events) - {event for _, event in seen}
    if unused:
        raise ChartError(f'events without a transition: {sorted(unused)}')


def _check_transition(
    spec: ChartSpec, source: str, item: TransitionSpec
) -> None:
    for name in (source, item.to):
        if name not in spec.states:
            raise ChartError(f'unknown state {name}')
    if item.event not in spec.events:
        raise ChartError(f'unknown event {item.event}')
    if source in spec.final:
        raise ChartError(f'final state {source} has a transition')


def _check_reachable(spec: ChartSpec) -> None:
    for name in (spec.initial, *spec.final):
        if name not in spec.states:
            raise ChartError(f'unknown state {name}')
    edges = [(s, item.to) for item in spec.transitions for s in item.source]
    unreachable = set(spec.states) - _find_reachable({spec.initial}, edges)
    if unreachable:
        raise ChartError(f'unreachable states: {sorted(unreachable)}')
    reverse = [(to, source) for source, to in edges]
    trapped = set(spec.states) - _find_reachable(set(spec.final), reverse)
    if spec.final and trapped:
        raise ChartError(
            f'states with no path to a final state: {sorted(trapped)}'
        )


def _find_reachable(start: set[str], edges: list[tuple[str, str]]) -> set[str]:
    reached = set(start)
    while True:
        added = {to for source, to in edges if source in reached} - reached
        if not added:
            return reached
        reached |= added
