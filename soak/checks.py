"""Check the record of a run against each promise.

The fault-free period at the end of a run is the "calm" of the report.
"""

from bisect import bisect_left
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from soak.record import CallClass
from soak.record import FaultInterval
from soak.record import NOT_EXECUTED_STATUSES
from soak.record import Outcome
from soak.record import Record
from soak.record import STREAM_CLASSES
from soak.record import Violation
from soak.scenario import APPLY_LIMIT_S
from soak.scenario import BURST_CALLS
from soak.scenario import ENDLESS_FILL
from soak.scenario import ENDS_UNTIL_KNOWN
from soak.scenario import IN_FORCE_S
from soak.scenario import IN_TOUCH_S
from soak.scenario import LEAVING_LIMIT_S
from soak.scenario import LIMIT_SLACK_CALLS
from soak.scenario import LIMIT_TOLERANCE_RATIO
from soak.scenario import LIMIT_WINDOW_S
from soak.scenario import LIMITED_ORGANISATION
from soak.scenario import MAX_RUNS_ONCE_KNOWN
from soak.scenario import MAX_TOKENS_PER_TURN
from soak.scenario import PROBE_ORGANISATION
from soak.scenario import PROGRAM_BUDGET_TOKENS
from soak.scenario import QUARANTINED_TEXT
from soak.scenario import RATE_OVERSHOOT_RATIO
from soak.scenario import RATE_PER_S
from soak.scenario import RATE_SLACK_CALLS
from soak.scenario import RATE_WINDOW_S
from soak.scenario import RECOVERY_LIMIT_S
from soak.scenario import SAMPLE_MARGIN_S
from soak.scenario import SERVER_LIMIT_PER_S
from soak.scenario import STOP_GRACE_S
from soak.scenario import TOKENS_PER_EVENT
from soak.scenario import UNLIMITED_ORGANISATION
from soak.schedule import FaultKind

Details = Iterator[str]
NON_IDEMPOTENT_CLASSES = (CallClass.TURN, CallClass.ORDER)
# With fewer calls, the check after the last fault would prove nothing.
MIN_RECOVERED_CALLS = 5
# Backend server faults do not disconnect an instance from the store.
SERVER_FAULT_KINDS = frozenset(
    kind.value for kind in FaultKind if kind.value.startswith('server')
)
STORE_FAULT_KINDS = frozenset(
    kind.value for kind in FaultKind if kind.value.startswith('store')
)
KILL_KINDS = frozenset((FaultKind.KILL.value, FaultKind.KILL_MOST.value))
# Share of the grace period, from its start, in which a request must not be
# dropped.
GRACE_SHARE = 5 / 6
# Only these keep an instance from hearing what the others know.
PROCESS_FAULT_KINDS = frozenset(
    kind.value
    for kind in (
        FaultKind.KILL,
        FaultKind.KILL_MOST,
        FaultKind.PAUSE,
        FaultKind.PLANNED_STOP,
    )
)
# These actions of operators must not disturb any call.
OPERATOR_ACTION_KINDS = frozenset(
    (FaultKind.CONFIGURATION.value, FaultKind.KEY_WITHDRAWN.value)
)


def _is_success(outcome: Outcome) -> bool:
    return outcome.status == 200 and outcome.whole


def find_duplicate_effects(record: Record) -> Details:
    """Find effects of turns and orders that were executed repeatedly."""
    request_ids_by_effect_id: dict[str, list[str]] = {}
    for run in record.runs:
        if run.call_class in NON_IDEMPOTENT_CLASSES:
            request_ids_by_effect_id.setdefault(run.effect_id, []).append(
                run.request_id
            )
    for effect_id, request_ids in request_ids_by_effect_id.items():
        if len(request_ids) > 1:
            yield (
                f'{effect_id} ran {len(request_ids)} times, as {request_ids}'
            )


def find_executed_refusals(record: Record) -> Details:
    """Find executed calls whose status reports that they did not run."""
    ran = {run.request_id for run in record.runs}
    for outcome in record.outcomes:
        if (
            outcome.status in NOT_EXECUTED_STATUSES
            and outcome.request_id in ran
        ):
            yield f'{outcome.request_id} got {outcome.status} and ran'


def find_wrong_responses(record: Record) -> Details:
    """Find internal errors and responses that differ from the server's.

    An incomplete response must be a prefix of what the server sends. One
    whose end is not confirmed must not end inside an event either.
    """
    endless_ids = {r.request_id for r in record.runs if r.is_endless}
    for outcome in record.outcomes:
        if outcome.status == 500:
            yield f'{outcome.request_id} got an internal error'
        if outcome.status != 200:
            continue
        expected = outcome.expected_body
        is_expected = expected.startswith(outcome.body)
        if outcome.whole:
            is_expected = outcome.body == expected
        elif outcome.is_unconfirmed and outcome.call_class in STREAM_CLASSES:
            is_expected = is_expected and ends_between_events(outcome.body)
        elif outcome.request_id in endless_ids:
            is_endless_part = not outcome.body.strip(ENDLESS_FILL)
            is_expected = is_expected or is_endless_part
        if not is_expected:
            yield f'{outcome.request_id} got the body {outcome.body[:80]!r}'


def ends_between_events(body: bytes) -> bool:
    """Return whether a stream of events ends after a whole one."""
    return not body or body.endswith(b'\n\n')


def find_lost_turns(record: Record) -> Details:
    """Find completed turns that are missing and prompts that differ.

    Callers name only completed turns as previous, so a 404 means a lost one.
    """
    for outcome in record.outcomes:
        if outcome.status == 404:
            yield (
                f'{outcome.request_id} did not find the previous turn'
                f' {outcome.previous_request_id}'
            )
    digests_by_request_id = {
        o.request_id: o.expected_prompt_digest for o in record.outcomes
    }
    for run in record.runs:
        expected = digests_by_request_id.get(run.request_id)
        if expected is not None and run.body_digest != expected:
            yield f'{run.request_id} was given an unexpected prompt'


def _sum_tokens_by_program(
    events: Iterable[tuple[str, int]],
) -> dict[str, int]:
    tokens: dict[str, int] = {}
    for program, count in events:
        tokens[program] = tokens.get(program, 0) + count * TOKENS_PER_EVENT
    return tokens


def _programs_during_store_faults(record: Record) -> set[str]:
    faults = [i for i in record.fault_intervals if i.kind in STORE_FAULT_KINDS]
    return {
        outcome.program
        for outcome in record.outcomes
        if outcome.call_class is CallClass.REPLY
        and not _is_unaffected(
            faults, outcome.instance, outcome.started_s, outcome.ended_s
        )
    }


def find_budget_overruns(record: Record) -> Details:
    """Find programs that received more tokens than their budget.

    While the store is disturbed a program may borrow the tokens of one call.
    A server may generate one more turn that reaches no caller.
    """
    borrowers = _programs_during_store_faults(record)
    given = _sum_tokens_by_program(
        (outcome.program, outcome.body.count(b'data:'))
        for outcome in record.outcomes
        if outcome.call_class in STREAM_CLASSES
    )
    ran = _sum_tokens_by_program(
        (run.program, run.events)
        for run in record.runs
        if run.call_class is CallClass.TURN
    )
    for program, tokens in given.items():
        borrowed = MAX_TOKENS_PER_TURN if program in borrowers else 0
        if tokens > PROGRAM_BUDGET_TOKENS + borrowed:
            yield f'{program} was given {tokens} tokens, more than its budget'
    for program, tokens in ran.items():
        if tokens > PROGRAM_BUDGET_TOKENS + MAX_TOKENS_PER_TURN:
            yield f'{program} had {tokens} tokens generated by servers'


def find_rate_overruns(record: Record) -> Details:
    """Find the first window in which an organisation exceeds its rate."""
    # A request that is resumed or sent again has taken one token.
    first_run_s_by_id: dict[str, float] = {}
    for run in record.runs:
        if run.organisation == LIMITED_ORGANISATION:
            first_run_s_by_id.setdefault(run.request_id, run.at_s)
    times_s = sorted(first_run_s_by_id.values())
    max_calls = RATE_PER_S * RATE_WINDOW_S + BURST_CALLS
    max_calls = max_calls * (1 + RATE_OVERSHOOT_RATIO) + RATE_SLACK_CALLS
    for index, window_start_s in enumerate(times_s):
        count = bisect_left(times_s, window_start_s + RATE_WINDOW_S) - index
        if count > max_calls:
            yield (
                f'{count} calls in the window from {window_start_s:.3f} s,'
                f' allowed {max_calls}'
            )
            return


def _is_unaffected(
    fault_intervals: list[FaultInterval],
    instance: str,
    start_s: float,
    end_s: float,
) -> bool:
    return not any(
        interval.affects(instance, start_s, end_s)
        for interval in fault_intervals
    )


def find_late_key_use(record: Record) -> Details:
    """Find calls with a withdrawn key, admitted after the time limit.

    Instances that a fault may have cut off from the store are excepted.
    """
    fault_intervals = [
        interval
        for interval in record.fault_intervals
        if interval.kind not in SERVER_FAULT_KINDS
        and interval.kind not in OPERATOR_ACTION_KINDS
    ]
    for outcome in record.outcomes:
        withdrawn_s = record.withdrawn_at_s_by_key.get(outcome.key)
        if withdrawn_s is None or outcome.status != 200:
            continue
        late_s = outcome.started_s - withdrawn_s
        if late_s <= APPLY_LIMIT_S:
            continue
        if _is_unaffected(
            fault_intervals, outcome.instance, withdrawn_s, outcome.started_s
        ):
            yield (
                f'{outcome.request_id} was admitted {late_s:.1f} s after'
                ' the withdrawal of its key'
            )


def find_late_configurations(record: Record) -> Details:
    """Find instances on which a change is not in force in time.

    Instances that a fault may have cut off from the store are excepted, but
    not by silent connections: new ones work.
    """
    fault_intervals = [
        interval
        for interval in record.fault_intervals
        if interval.kind not in SERVER_FAULT_KINDS
        and interval.kind not in OPERATOR_ACTION_KINDS
        and interval.kind != FaultKind.STORE_SILENT.value
    ]
    for sample in record.version_samples:
        if sample.version == 0:
            continue
        for version, at_s in record.configured_at_s_by_version.items():
            late_s = sample.at_s - at_s - IN_FORCE_S - SAMPLE_MARGIN_S
            if sample.version >= version or late_s <= 0:
                continue
            if _is_unaffected(
                fault_intervals,
                sample.instance,
                at_s - IN_TOUCH_S,
                sample.at_s,
            ):
                yield (
                    f'{sample.instance} has version {sample.version}'
                    f' {sample.at_s - at_s:.1f} s after version {version}'
                )


def find_exceeded_limits(record: Record) -> Details:
    """Find servers that got more than the limit that they named.

    A server that restarted meanwhile holds a new limit, and is excepted. So
    are calls of an instance whose process had a fault just before, as it may
    not have heard of the limit yet.
    """
    process_faults = [
        interval
        for interval in record.fault_intervals
        if interval.kind in PROCESS_FAULT_KINDS
    ]
    instances_by_id = {o.request_id: o.instance for o in record.outcomes}
    allowed = LIMIT_SLACK_CALLS + (
        (1 + LIMIT_TOLERANCE_RATIO) * LIMIT_WINDOW_S * SERVER_LIMIT_PER_S
    )
    for interval in record.limit_intervals:
        start_s = interval.start_s + IN_TOUCH_S
        ends_s = [
            end.at_s
            for end in record.server_ends
            if end.server_id == interval.server_id
        ]
        runs_s = [
            run.at_s
            for run in record.runs
            if run.server_id == interval.server_id
            and start_s <= run.at_s <= interval.end_s
            and _is_unaffected(
                process_faults,
                instances_by_id.get(run.request_id, ''),
                run.at_s - IN_TOUCH_S,
                run.at_s,
            )
        ]
        for at_s in runs_s:
            end_s = at_s + LIMIT_WINDOW_S
            count = sum(at_s <= other_s < end_s for other_s in runs_s)
            has_restarted = any(
                at_s - IN_TOUCH_S <= ended_s <= end_s for ended_s in ends_s
            )
            if count > allowed and not has_restarted:
                yield f'{interval.server_id} got {count} calls in a window'
                break


def find_calls_to_leaving_servers(record: Record) -> Details:
    """Find calls that reached a server long after it said that it leaves.

    The time counts from the first such answer that the instance has passed
    on. A process fault of the instance since then excepts it, and so does a
    restart of the server.
    """
    process_faults = [
        interval
        for interval in record.fault_intervals
        if interval.kind in PROCESS_FAULT_KINDS
    ]
    outcomes_by_id = {o.request_id: o for o in record.outcomes}
    for interval in record.leaving_intervals:
        told_at_s: dict[str, float] = {}
        for outcome in record.outcomes:
            is_told = outcome.leaving_server_id == interval.server_id
            if is_told and interval.start_s <= outcome.ended_s:
                told_at_s.setdefault(outcome.instance, outcome.ended_s)
        for run in record.runs:
            sent = outcomes_by_id.get(run.request_id)
            is_there = (
                run.server_id == interval.server_id
                and interval.start_s <= run.at_s <= interval.end_s
            )
            has_restarted = any(
                end.server_id == interval.server_id
                and interval.start_s <= end.at_s <= run.at_s
                for end in record.server_ends
            )
            if sent is None or not is_there or has_restarted:
                continue
            since_s = told_at_s.get(sent.instance, run.at_s)
            if sent.started_s > since_s + LEAVING_LIMIT_S and _is_unaffected(
                process_faults, sent.instance, since_s, run.at_s
            ):
                yield (
                    f'{sent.instance} sent to {run.server_id}'
                    f' {run.at_s - since_s:.1f} s after it said that it leaves'
                )


def find_configuration_rollbacks(record: Record) -> Details:
    """Find instances that returned to an earlier configuration.

    An instance that accepts a withdrawn key again after refusing it is one.
    """
    newest_version_by_instance: dict[str, int] = {}
    for sample in record.version_samples:
        newest_version = newest_version_by_instance.get(sample.instance, 0)
        if 0 < sample.version < newest_version:
            yield f'{sample.instance} went back to version {sample.version}'
        newest_version_by_instance[sample.instance] = max(
            newest_version, sample.version
        )
    for outcome in record.outcomes:
        if outcome.organisation != PROBE_ORGANISATION or outcome.status != 200:
            continue
        withdrawn_s = record.withdrawn_at_s_by_key.get(outcome.key)
        if withdrawn_s is None:
            continue
        refused = [
            other
            for other in record.outcomes
            if other.key == outcome.key
            and other.instance == outcome.instance
            and other.status == 401
            and withdrawn_s < other.started_s
            and other.ended_s < outcome.started_s
        ]
        if refused:
            yield (
                f'{outcome.instance} accepted a key that it had refused'
                f' in {refused[0].request_id}: {outcome.request_id}'
            )


def find_calls_cut_by_stop(record: Record) -> Details:
    """Find calls that were interrupted by a planned stop and no other fault.

    Calls that started before the stop must complete, later ones only if
    they were executed. Timeouts (504) and calls that started after the grace
    period are excepted.
    """
    ran = {run.request_id for run in record.runs}
    for instance, stopped_s in record.planned_stops:
        other_faults = [
            interval
            for interval in record.fault_intervals
            if interval.kind not in OPERATOR_ACTION_KINDS
            and not (
                interval.kind == FaultKind.PLANNED_STOP.value
                and interval.instance == instance
            )
        ]
        for outcome in record.outcomes:
            if outcome.instance != instance or outcome.status == 504:
                continue
            is_after_stop = outcome.started_s >= stopped_s
            if is_after_stop and outcome.request_id not in ran:
                continue
            if outcome.ended_s <= stopped_s or outcome.whole:
                continue
            if outcome.started_s > stopped_s + STOP_GRACE_S:
                continue
            start_s = outcome.started_s - 1
            if _is_unaffected(
                other_faults, instance, start_s, outcome.ended_s
            ):
                late_s = outcome.started_s - stopped_s
                yield (
                    f'{outcome.request_id} to {instance}, sent'
                    f' {late_s:.3f} s after SIGTERM, was cut off by the stop'
                )


def find_dropped_requests(record: Record) -> Details:
    """Find requests that an instance read and closed without an answer.

    Excepted are killed instances, and calls on which a server was still at
    work in the last sixth of a grace period.
    """
    ran = {run.request_id for run in record.runs}
    kills = [i for i in record.fault_intervals if i.kind in KILL_KINDS]
    for outcome in record.outcomes:
        if not outcome.is_dropped:
            continue
        since_stops_s = [
            outcome.ended_s - stopped_s
            for instance, stopped_s in record.planned_stops
            if instance == outcome.instance and stopped_s < outcome.ended_s
        ]
        last_s = min(since_stops_s, default=None)
        is_late = last_s is not None and last_s > STOP_GRACE_S * GRACE_SHARE
        if is_late and outcome.request_id in ran:
            continue
        if _is_unaffected(
            kills, outcome.instance, outcome.started_s, outcome.ended_s
        ):
            when = f'{last_s:.3f} s after SIGTERM' if last_s else 'no stop'
            yield (
                f'{outcome.request_id} was read by {outcome.instance} and'
                f' dropped, {when}'
            )


def find_runs_of_known_request(record: Record) -> Details:
    """Find runs of a request that is known to end servers.

    Counted are those sent through instances that have heard what the others
    know, later than IN_TOUCH_S after the request has ended ENDS_UNTIL_KNOWN
    servers.
    """
    if len(record.server_ends) < ENDS_UNTIL_KNOWN:
        return
    ended_s = sorted(end.at_s for end in record.server_ends)
    known_s = ended_s[ENDS_UNTIL_KNOWN - 1] + IN_TOUCH_S
    fault_intervals = [
        interval
        for interval in record.fault_intervals
        if interval.kind in PROCESS_FAULT_KINDS
    ]
    ran = {run.request_id for run in record.runs}
    late_ids = [
        outcome.request_id
        for outcome in record.outcomes
        if outcome.ends_servers
        and outcome.started_s > known_s
        and outcome.request_id in ran
        and _is_unaffected(
            fault_intervals,
            outcome.instance,
            outcome.started_s - IN_TOUCH_S,
            outcome.ended_s,
        )
    ]
    if len(late_ids) > MAX_RUNS_ONCE_KNOWN:
        yield (
            f'a request that ended {len(ended_s)} servers ran'
            f' {len(late_ids)} times more: {late_ids}'
        )


def find_wrong_quarantines(record: Record) -> Details:
    """Find calls that were quarantined and end no servers."""
    for outcome in record.outcomes:
        is_quarantined = outcome.body.strip() == QUARANTINED_TEXT
        if is_quarantined and not outcome.ends_servers:
            yield f'{outcome.request_id} was quarantined'


def find_failures_after_recovery(record: Record) -> Details:
    """Find calls that fail after the recovery limit of the last fault.

    Calls refused with 402 are excepted: their program's budget is spent.
    """
    start_s = record.fault_free_from_s + RECOVERY_LIMIT_S
    calls = [
        outcome
        for outcome in record.outcomes
        if outcome.started_s > start_s
        and outcome.organisation == UNLIMITED_ORGANISATION
        and outcome.status != 402
    ]
    if len(calls) < MIN_RECOVERED_CALLS:
        yield f'only {len(calls)} calls ended in the fault-free period'
    for outcome in calls:
        if not _is_success(outcome):
            yield (
                f'{outcome.request_id} got {outcome.status} in the'
                ' fault-free period'
            )


CHECKS_BY_PROMISE: dict[str, Callable[[Record], Details]] = {
    'at most once': find_duplicate_effects,
    'true refusals': find_executed_refusals,
    'whole and own answers': find_wrong_responses,
    'kept turns': find_lost_turns,
    'budgets': find_budget_overruns,
    'rates': find_rate_overruns,
    'withdrawn keys': find_late_key_use,
    'changes in force': find_late_configurations,
    'limits of servers': find_exceeded_limits,
    'leaving servers left alone': find_calls_to_leaving_servers,
    'configuration never back': find_configuration_rollbacks,
    'planned stops cut nothing': find_calls_cut_by_stop,
    'requests read are answered': find_dropped_requests,
    'no server ended once known': find_runs_of_known_request,
    'others not quarantined': find_wrong_quarantines,
    'served again in the calm': find_failures_after_recovery,
}


def find_violations(record: Record) -> list[Violation]:
    """Return every violation that a record shows."""
    return [
        Violation(promise, detail)
        for promise, find_details in CHECKS_BY_PROMISE.items()
        for detail in find_details(record)
    ]
