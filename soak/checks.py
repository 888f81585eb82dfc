"""Checks a run's record against each promise."""

from bisect import bisect_left
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from soak.record import CallClass
from soak.record import NOT_RUN_STATUSES
from soak.record import Outcome
from soak.record import Record
from soak.record import Trouble
from soak.record import Violation
from soak.schedule import FaultKind
from soak.world import APPLY_S
from soak.world import BUDGET_TOKENS
from soak.world import BURST
from soak.world import FREE
from soak.world import GRACE_S
from soak.world import LIMITED
from soak.world import MOST_TOKENS
from soak.world import PROBES
from soak.world import RATE_OVERSHOOT
from soak.world import RATE_PER_S
from soak.world import RATE_SLACK
from soak.world import RATE_WINDOW_S
from soak.world import RECOVER_S
from soak.world import TOKENS_PER_EVENT

Found = Iterator[str]
ONCE_CLASSES = (CallClass.TURN, CallClass.ORDER)
# Fewer calls than this in the calm would say nothing about it.
LEAST_CALM_CALLS = 5
# Faults of the servers do not keep an instance from the store.
SERVER_KINDS = frozenset(
    kind.value for kind in FaultKind if kind.value.startswith('server')
)
HARMLESS_KINDS = frozenset(
    (FaultKind.CONFIGURATION.value, FaultKind.KEY_WITHDRAWN.value)
)


def _answered(outcome: Outcome) -> bool:
    return outcome.status == 200 and outcome.whole


def once(record: Record) -> Found:
    """Find effects that ran more than once."""
    ids_by_effect: dict[str, list[str]] = {}
    for run in record.runs:
        if run.call_class in ONCE_CLASSES:
            ids_by_effect.setdefault(run.effect_id, []).append(run.request_id)
    for effect_id, ids in ids_by_effect.items():
        if len(ids) > 1:
            yield f'{effect_id} ran {len(ids)} times, as {ids}'


def true_refusals(record: Record) -> Found:
    """Find calls that were said not to run, and ran."""
    ran = {run.request_id for run in record.runs}
    for outcome in record.outcomes:
        if outcome.status in NOT_RUN_STATUSES and outcome.request_id in ran:
            yield f'{outcome.request_id} got {outcome.status} and ran'


def own_answers(record: Record) -> Found:
    """Find answers that are not what the server said, in its order."""
    for outcome in record.outcomes:
        if outcome.status == 500:
            yield f'{outcome.request_id} got an internal error'
        if outcome.status != 200:
            continue
        expected = outcome.expected_body
        fits = expected.startswith(outcome.body)
        if outcome.whole:
            fits = outcome.body == expected
        if not fits:
            yield f'{outcome.request_id} got {outcome.body[:80]!r}'


def kept_turns(record: Record) -> Found:
    """Find turns answered whole that are missing, or other prompts."""
    for outcome in record.outcomes:
        if outcome.status == 404:
            yield f'{outcome.request_id} did not find {outcome.previous}'
    digests = {o.request_id: o.expected_digest for o in record.outcomes}
    for run in record.runs:
        expected = digests.get(run.request_id)
        if expected is not None and run.body_digest != expected:
            yield f'{run.request_id} was given another prompt'


def _tokens_by_program(events: Iterable[tuple[str, int]]) -> dict[str, int]:
    tokens: dict[str, int] = {}
    for program, count in events:
        tokens[program] = tokens.get(program, 0) + count * TOKENS_PER_EVENT
    return tokens


def budgets(record: Record) -> Found:
    """Find programs that were given more tokens than their budget.

    A server may have generated one turn more, which no caller was given.
    """
    given = _tokens_by_program(
        (outcome.program, outcome.body.count(b'data:'))
        for outcome in record.outcomes
        if outcome.call_class is CallClass.TURN
    )
    ran = _tokens_by_program(
        (run.program, run.events)
        for run in record.runs
        if run.call_class is CallClass.TURN
    )
    for program, tokens in given.items():
        if tokens > BUDGET_TOKENS:
            yield f'{program} was given {tokens} tokens'
    for program, tokens in ran.items():
        if tokens > BUDGET_TOKENS + MOST_TOKENS:
            yield f'{program} had {tokens} tokens generated'


def rates(record: Record) -> Found:
    """Find windows in which an organisation ran more than it may."""
    times = sorted(r.at_s for r in record.runs if r.organisation == LIMITED)
    most = RATE_PER_S * RATE_WINDOW_S + BURST
    most = most * (1 + RATE_OVERSHOOT) + RATE_SLACK
    for number, at_s in enumerate(times):
        count = bisect_left(times, at_s + RATE_WINDOW_S) - number
        if count > most:
            yield f'{count} in the window from {at_s:.3f} s, allowed {most}'
            return


def _undisturbed(
    troubles: list[Trouble], instance: str, from_s: float, to_s: float
) -> bool:
    return not any(t.touches(instance, from_s, to_s) for t in troubles)


def withdrawn_keys(record: Record) -> Found:
    """Find calls admitted by an instance in touch after a withdrawal."""
    troubles = [
        t
        for t in record.troubles
        if t.kind not in SERVER_KINDS and t.kind not in HARMLESS_KINDS
    ]
    for outcome in record.outcomes:
        withdrawn_s = record.withdrawn_at_s_by_key.get(outcome.key)
        if withdrawn_s is None or outcome.status != 200:
            continue
        late_s = outcome.started_s - withdrawn_s
        if late_s <= APPLY_S:
            continue
        if _undisturbed(
            troubles, outcome.instance, withdrawn_s, outcome.started_s
        ):
            yield f'{outcome.request_id} used its key {late_s:.1f} s later'


def configuration_forward(record: Record) -> Found:
    """Find instances that went back to an earlier configuration."""
    newest_by_instance: dict[str, int] = {}
    for seen in record.versions:
        newest = newest_by_instance.get(seen.instance, 0)
        if 0 < seen.version < newest:
            yield f'{seen.instance} went back to version {seen.version}'
        newest_by_instance[seen.instance] = max(newest, seen.version)
    for outcome in record.outcomes:
        if outcome.organisation != PROBES or outcome.status != 200:
            continue
        seen_s = record.withdrawn_at_s_by_key.get(outcome.key)
        if seen_s is None:
            continue
        refused = [
            other
            for other in record.outcomes
            if other.key == outcome.key
            and other.instance == outcome.instance
            and other.status == 401
            and seen_s < other.started_s
            and other.ended_s < outcome.started_s
        ]
        if refused:
            yield (
                f'{outcome.instance} took a key again that it refused'
                f' in {refused[0].request_id}: {outcome.request_id}'
            )


def planned_stops(record: Record) -> Found:
    """Find calls that a planned stop alone cut.

    Before the stop a call must be answered; after it, if it was passed on.
    """
    ran = {run.request_id for run in record.runs}
    for instance, stopped_s in record.planned_stops:
        others = [
            t
            for t in record.troubles
            if t.kind not in HARMLESS_KINDS
            and not (
                t.kind == FaultKind.PLANNED_STOP.value
                and t.instance == instance
            )
        ]
        for outcome in record.outcomes:
            if outcome.instance != instance or outcome.status == 504:
                continue
            late = outcome.started_s >= stopped_s
            if late and outcome.request_id not in ran:
                continue
            if outcome.ended_s <= stopped_s or outcome.whole:
                continue
            if outcome.started_s > stopped_s + GRACE_S:
                continue
            from_s = outcome.started_s - 1
            if _undisturbed(others, instance, from_s, outcome.ended_s):
                yield f'{outcome.request_id} was cut by the stop'


def calm(record: Record) -> Found:
    """Find calls that fail although every fault is over."""
    from_s = record.calm_from_s + RECOVER_S
    calls = [
        outcome
        for outcome in record.outcomes
        if outcome.started_s > from_s
        and outcome.organisation == FREE
        and outcome.status != 402
    ]
    if len(calls) < LEAST_CALM_CALLS:
        yield f'only {len(calls)} calls ended in the calm'
    for outcome in calls:
        if not _answered(outcome):
            yield f'{outcome.request_id} got {outcome.status} in the calm'


CHECKS_BY_PROMISE: dict[str, Callable[[Record], Found]] = {
    'at most once': once,
    'true refusals': true_refusals,
    'whole and own answers': own_answers,
    'kept turns': kept_turns,
    'budgets': budgets,
    'rates': rates,
    'withdrawn keys': withdrawn_keys,
    'configuration never back': configuration_forward,
    'planned stops cut nothing': planned_stops,
    'served again in the calm': calm,
}


def check(record: Record) -> list[Violation]:
    """Return everything that a record shows to be broken."""
    return [
        Violation(promise, detail)
        for promise, find in CHECKS_BY_PROMISE.items()
        for detail in find(record)
    ]
