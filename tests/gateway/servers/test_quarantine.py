"""Test which requests are quarantined for ending backend servers.

The search plays many courses of events over several instances: messages that
are late or lost, instances cut off or started anew, innocent requests beside
the one that ends servers, and servers that end on their own.
"""

from dataclasses import dataclass
from dataclasses import field
import random
import unittest

from jackdawfield.gateway.servers.blame import MOMENTS_TO_CONVICT
from jackdawfield.gateway.servers.quarantine import EVIDENCE_KEPT_S
from jackdawfield.gateway.servers.quarantine import MAX_CONVICTIONS
from jackdawfield.gateway.servers.quarantine import MAX_ENDINGS
from jackdawfield.gateway.servers.quarantine import MAX_SUSPECTS
from jackdawfield.gateway.servers.quarantine import PROBATION_S
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.quarantine import QUARANTINE_S
from jackdawfield.gateway.servers.quarantine import SETTLE_S
from jackdawfield.gateway.servers.quarantine import Verdict
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart
from jackdawfield.model import ServerId

POISON = RequestDigest(b'poison')
INNOCENT = RequestDigest(b'innocent')


def start_of(number: int, started_ms: int = 1) -> ServerStart:
    return ServerStart(ServerId(f's{number}'), started_ms)


def early(*digests: RequestDigest) -> dict[RequestDigest, bool]:
    """Return requests whose answers had not begun."""
    return dict.fromkeys(digests, False)


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()
        self.now_s = 100.0
        self.number = 0

    def end_server(self, suspects: dict[RequestDigest, bool]) -> None:
        self.number += 1
        self.now_s += 1.0
        start = start_of(self.number)
        self.quarantine.record_ending(start, suspects, self.now_s)

    def verdict(self, digest: RequestDigest = POISON) -> Verdict:
        return self.quarantine.verdict(digest, self.now_s + SETTLE_S)

    def convict(self) -> None:
        for _ in range(3):
            self.end_server(early(POISON))
        self.assertIs(self.verdict(), Verdict.QUARANTINED)

    def test_third_server_convicts(self) -> None:
        found = []
        for number in range(3):
            other = RequestDigest(b'other %d' % number)
            self.end_server(early(POISON, other))
            found.append(self.verdict())
        self.assertEqual(
            found, [Verdict.FREE, Verdict.WATCHED, Verdict.QUARANTINED]
        )

    def test_request_waits_until_its_endings_are_judged(self) -> None:
        for number in range(2):
            other = RequestDigest(b'other %d' % number)
            self.end_server(early(POISON, other))
        verdict = self.quarantine.verdict(POISON, self.now_s)
        self.assertIs(verdict, Verdict.UNDECIDED)
        self.assertIs(self.verdict(), Verdict.WATCHED)

    def test_second_server_convicts_what_alone_had_just_begun(self) -> None:
        found = []
        for number in range(2):
            other = RequestDigest(b'other %d' % number)
            self.end_server({POISON: False, other: True})
            found.append(self.verdict())
        self.assertEqual(found, [Verdict.FREE, Verdict.QUARANTINED])

    def test_servers_that_end_whatever_runs_there_convict_nobody(self) -> None:
        # Guards against refusing what was retried during a bad release.
        contents = [RequestDigest(b'%d' % number) for number in range(6)]
        for _ in range(TRIES):
            for digest in contents:
                self.end_server(early(digest))
        found = {self.verdict(digest) for digest in contents}
        self.assertEqual(found, {Verdict.WATCHED})

    def test_one_server_counts_once_however_often_it_is_told(self) -> None:
        for _ in range(5):
            self.quarantine.record_ending(
                start_of(1), early(POISON), self.now_s
            )
            self.now_s += 1.0
        self.assertIs(self.verdict(), Verdict.FREE)

    def test_servers_that_end_at_one_moment_count_once(self) -> None:
        # Guards against convicting what ran everywhere when a domain went.
        for number in range(9):
            self.quarantine.record_ending(
                start_of(number), early(POISON), self.now_s + number * 0.01
            )
        self.now_s += 1.0
        self.assertIs(self.verdict(), Verdict.FREE)

    def test_request_that_ended_whole_is_cleared(self) -> None:
        for _ in range(2):
            self.end_server(early(INNOCENT))
        self.quarantine.record_whole(INNOCENT, self.now_s)
        self.assertIs(self.verdict(INNOCENT), Verdict.FREE)
        for number in range(2):
            other = RequestDigest(b'other %d' % number)
            self.end_server(early(INNOCENT, other))
        self.assertIs(self.verdict(INNOCENT), Verdict.WATCHED)

    def test_whole_end_lifts_a_quarantine(self) -> None:
        self.convict()
        self.quarantine.record_whole(POISON, self.now_s)
        self.assertIs(self.verdict(), Verdict.FREE)

    def test_equal_suspects_are_convicted_only_apart(self) -> None:
        for _ in range(3):
            self.end_server(early(POISON, INNOCENT))
        self.assertIs(self.verdict(), Verdict.WATCHED)
        self.end_server(early(POISON))
        self.assertIs(self.verdict(), Verdict.QUARANTINED)
        self.assertIs(self.verdict(INNOCENT), Verdict.FREE)

    def test_suspect_whose_answer_had_begun_is_no_rival(self) -> None:
        for _ in range(3):
            self.end_server({POISON: False, INNOCENT: True})
        self.assertIs(self.verdict(), Verdict.QUARANTINED)
        self.assertIs(self.verdict(INNOCENT), Verdict.FREE)

    def test_request_that_ends_servers_amid_its_answer_is_convicted(
        self,
    ) -> None:
        for _ in range(MOMENTS_TO_CONVICT):
            self.assertIsNot(self.verdict(), Verdict.QUARANTINED)
            self.end_server({POISON: True})
        self.assertIs(self.verdict(), Verdict.QUARANTINED)

    def test_innocent_beside_two_such_requests_is_not_convicted(self) -> None:
        second = RequestDigest(b'second')
        self.end_server(early(POISON, INNOCENT))
        self.end_server(early(second, INNOCENT))
        self.end_server(early(POISON))
        self.end_server(early(second, INNOCENT))
        self.end_server(early(POISON))
        self.end_server(early(second))
        self.assertIs(self.verdict(), Verdict.QUARANTINED)
        self.assertIs(self.verdict(second), Verdict.QUARANTINED)
        self.assertIs(self.verdict(INNOCENT), Verdict.FREE)

    def test_late_report_lifts_what_it_explains(self) -> None:
        other = Quarantine()
        for _ in range(3):
            self.end_server(early(INNOCENT))
            other.record_ending(
                start_of(self.number), early(POISON), self.now_s
            )
        self.assertIs(self.verdict(INNOCENT), Verdict.QUARANTINED)
        other.record_ending(start_of(9), early(POISON), self.now_s + 0.5)
        self.now_s += 1.0
        evidence = other.evidence_since(0, self.now_s)
        self.quarantine.merge(evidence, self.now_s)
        self.assertIs(self.verdict(), Verdict.QUARANTINED)
        self.assertIs(self.verdict(INNOCENT), Verdict.FREE)

    def test_quarantine_expires_and_one_ending_brings_it_back(self) -> None:
        self.convict()
        self.now_s += QUARANTINE_S + 1.0
        self.quarantine.expire(self.now_s)
        self.assertIs(self.verdict(), Verdict.WATCHED)
        self.end_server(early(POISON))
        self.assertIs(self.verdict(), Verdict.QUARANTINED)

    def test_all_is_forgotten_in_the_end(self) -> None:
        self.convict()
        self.now_s += QUARANTINE_S + PROBATION_S + 1.0
        self.quarantine.expire(self.now_s)
        self.assertTrue(self.quarantine.is_empty)

    def test_lifted_one_stays_free_until_it_ends_servers_again(self) -> None:
        self.convict()
        self.assertTrue(self.quarantine.lift(POISON))
        self.assertFalse(self.quarantine.lift(POISON))
        self.assertIs(self.verdict(), Verdict.FREE)
        self.convict()

    def test_lift_reaches_other_instances(self) -> None:
        self.convict()
        other = Quarantine()
        other.merge(self.quarantine.evidence_since(0, self.now_s), self.now_s)
        self.assertIs(
            other.verdict(POISON, self.now_s + 1), Verdict.QUARANTINED
        )
        version = self.quarantine.version
        self.quarantine.lift(POISON)
        evidence = self.quarantine.evidence_since(version, self.now_s)
        other.merge(evidence, self.now_s)
        self.assertIs(other.verdict(POISON, self.now_s + 1), Verdict.FREE)
        # An older report does not bring it back.
        other.merge(self.quarantine.evidence_since(0, self.now_s), self.now_s)
        self.assertIs(other.verdict(POISON, self.now_s + 1), Verdict.FREE)

    def test_merging_the_same_again_changes_nothing(self) -> None:
        self.convict()
        other = Quarantine()
        evidence = self.quarantine.evidence_since(0, self.now_s)
        other.merge(evidence, self.now_s)
        version = other.version
        other.merge(evidence, self.now_s + 0.1)
        self.assertEqual(other.version, version)
        back = other.evidence_since(0, self.now_s + 0.2)
        version = self.quarantine.version
        self.quarantine.merge(back, self.now_s + 0.3)
        self.assertEqual(self.quarantine.version, version)

    def test_only_what_changed_is_told(self) -> None:
        self.convict()
        version = self.quarantine.version
        self.assertFalse(self.quarantine.evidence_since(version, self.now_s))
        self.end_server(early(INNOCENT))
        evidence = self.quarantine.evidence_since(version, self.now_s)
        self.assertEqual(len(evidence.suspicions), 1)

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * MAX_ENDINGS):
            self.end_server(
                early(
                    *(
                        RequestDigest(b'%d/%d' % (number, k))
                        for k in range(MAX_SUSPECTS + 9)
                    )
                )
            )
        for number in range(MAX_CONVICTIONS + 9):
            for _ in range(3):
                self.end_server(early(RequestDigest(b'%d' % number)))
            self.quarantine.judge(self.now_s + SETTLE_S)
        evidence = self.quarantine.evidence_since(0, self.now_s)
        self.assertLessEqual(len(evidence.convictions), MAX_CONVICTIONS)
        self.assertLessEqual(
            len(evidence.suspicions), MAX_ENDINGS * MAX_SUSPECTS
        )

    def test_old_evidence_does_not_count(self) -> None:
        for _ in range(2):
            self.end_server(early(POISON))
        self.now_s += EVIDENCE_KEPT_S + 1.0
        self.quarantine.expire(self.now_s)
        self.end_server(early(POISON))
        self.assertIs(self.verdict(), Verdict.FREE)


# The bound of the search: retries of a request that reach servers later than
# this after it has ended the third one.
STABLE_S = 4.0
MAX_LATE_RUNS = 3
INSTANCES = 4
SERVERS = 12
TRIES = 3
DURATION_S = 40.0
STEP_S = 0.05


@dataclass
class _Run:
    """Holds one request under way at a server."""

    digest: RequestDigest
    instance: int
    sent_at_s: float
    ends_at_s: float
    first_piece_at_s: float
    tries_left: int


@dataclass
class _Instance:
    """Holds one instance, its peers' versions and its state."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    told: dict[int, int] = field(default_factory=dict)
    cut_until_s: float = -1.0
    # Since when it has been in touch with the others.
    calm_since_s: float = 0.0


class Course:
    """Plays one course of events that a seed determines."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.instances = [_Instance() for _ in range(INSTANCES)]
        self.runs_by_server: dict[int, list[_Run]] = {
            number: [] for number in range(SERVERS)
        }
        self.up_at_s = dict.fromkeys(range(SERVERS), 0.0)
        self.started_ms = dict.fromkeys(range(SERVERS), 0)
        self.waiting: list[tuple[float, RequestDigest, int]] = []
        self.messages: list[tuple[float, int, int, object, int]] = []
        self.poisons = [
            RequestDigest(b'poison %d' % n)
            for n in range(self.random.choice((1, 1, 2)))
        ]
        self.poison_gap_s = self.random.choice((0.3, 0.8, 2.0, 6.0))
        # How far its answer comes before its server ends.
        self.poison_answers = self.random.random() < 0.2
        # The share of innocent requests that are the same again and again.
        self.polling_share = self.random.choice((0.0, 0.5))
        self.innocent_per_s = self.random.choice((2.0, 10.0, 30.0))
        self.trouble_share = self.random.choice((0.0, 0.01, 0.03))
        self.ended_at_s: dict[RequestDigest, list[float]] = {}
        self.late_runs = dict.fromkeys(self.poisons, 0)
        # Since when innocent requests are quarantined, and the longest time.
        self.convicted_at_s: dict[RequestDigest, float] = {}
        self.longest_s_by_innocent: dict[RequestDigest, float] = {}
        self.innocent_count = 0

    def play(self) -> None:
        """Play to the end."""
        while self.now_s < DURATION_S:
            self.now_s += STEP_S
            self._disturb()
            self._arrive()
            self._end_runs()
            self._share()
            self._inspect()

    def _happens(self, per_s: float) -> bool:
        return self.random.random() < per_s * STEP_S

    def _disturb(self) -> None:
        for instance in self.instances:
            if self._happens(self.trouble_share):
                instance.cut_until_s = self.now_s + self.random.uniform(1, 6)
            if self.now_s < instance.cut_until_s:
                instance.calm_since_s = self.now_s
        if self._happens(self.trouble_share):
            self._restart(self.random.randrange(INSTANCES))
        if self._happens(2 * self.trouble_share):
            self._end_server(self.random.randrange(SERVERS))
        if self._happens(self.trouble_share):
            # A planned release: what runs there breaks off without a trace.
            self.runs_by_server[self.random.randrange(SERVERS)].clear()

    def _restart(self, number: int) -> None:
        fresh = _Instance(calm_since_s=self.now_s)
        self.instances[number] = fresh
        for other in self.instances:
            if other is not fresh and self.now_s >= other.cut_until_s:
                evidence = other.quarantine.evidence_since(
                    0, self.now_s, is_relayed=True
                )
                fresh.quarantine.merge(evidence, self.now_s)
        for runs in self.runs_by_server.values():
            runs[:] = [run for run in runs if run.instance != number]

    def _arrive(self) -> None:
        for poison in self.poisons:
            if self._happens(1 / self.poison_gap_s):
                self._send(poison, 1)
        if self._happens(self.innocent_per_s):
            self.innocent_count += 1
            digest = RequestDigest(b'innocent %d' % self.innocent_count)
            if self.random.random() < self.polling_share:
                digest = RequestDigest(b'poll %d' % self.random.randrange(3))
            self._send(digest, TRIES)
        due = [item for item in self.waiting if item[0] <= self.now_s]
        self.waiting = [item for item in self.waiting if item not in due]
        for _, digest, tries_left in due:
            self._send(digest, tries_left)

    def _send(self, digest: RequestDigest, tries_left: int) -> None:
        number = self.random.randrange(INSTANCES)
        quarantine = self.instances[number].quarantine
        verdict = quarantine.verdict(digest, self.now_s)
        if verdict is Verdict.UNDECIDED and tries_left:
            at_s = self.now_s + self.random.uniform(0.3, 0.6)
            self.waiting.append((at_s, digest, tries_left))
        if verdict in (Verdict.QUARANTINED, Verdict.UNDECIDED):
            return
        up = [s for s, at_s in self.up_at_s.items() if at_s <= self.now_s]
        if not up:
            return
        self._count_late(digest, number)
        begins_at_s = self.now_s + self.random.uniform(0.0, 0.3)
        length_s = self.random.uniform(0.1, 2.0)
        first_piece_at_s = begins_at_s + 0.05
        if digest in self.poisons:
            length_s = self.random.uniform(0.02, 0.15)
            if not self.poison_answers:
                first_piece_at_s = DURATION_S + 9
        self.runs_by_server[self.random.choice(up)].append(
            _Run(
                digest,
                number,
                self.now_s,
                begins_at_s + length_s,
                first_piece_at_s,
                tries_left - 1,
            )
        )

    def _count_late(self, digest: RequestDigest, number: int) -> None:
        ended = self.ended_at_s.get(digest, [])
        if digest not in self.poisons or len(ended) < 3:
            return
        is_in_touch = (
            self.now_s - self.instances[number].calm_since_s >= STABLE_S
        )
        if is_in_touch and self.now_s - ended[2] > STABLE_S:
            self.late_runs[digest] += 1

    def _end_runs(self) -> None:
        for server, runs in self.runs_by_server.items():
            due = [run for run in runs if run.ends_at_s <= self.now_s]
            for run in due:
                if run not in runs:
                    continue
                if run.digest in self.poisons:
                    times = self.ended_at_s.setdefault(run.digest, [])
                    times.append(self.now_s)
                    self._end_server(server)
                    break
                runs.remove(run)
                quarantine = self.instances[run.instance].quarantine
                quarantine.record_whole(run.digest, self.now_s)

    def _end_server(self, server: int) -> None:
        runs = self.runs_by_server[server]
        start = start_of(server, self.started_ms[server])
        for number, instance in enumerate(self.instances):
            suspects = {
                run.digest: run.first_piece_at_s <= self.now_s
                for run in runs
                if run.instance == number
            }
            instance.quarantine.record_ending(start, suspects, self.now_s)
        for run in runs:
            if run.tries_left and run.digest not in self.poisons:
                at_s = self.now_s + self.random.uniform(0.1, 0.4)
                self.waiting.append((at_s, run.digest, run.tries_left))
        runs.clear()
        self.started_ms[server] += 1
        self.up_at_s[server] = self.now_s + self.random.uniform(0.5, 3.0)

    def _share(self) -> None:
        """Send what peers have not confirmed; deliver or lose messages."""
        for source, instance in enumerate(self.instances):
            version = instance.quarantine.version
            for target in range(INSTANCES):
                told = instance.told.get(target, 0)
                if target == source or told >= version:
                    continue
                evidence = instance.quarantine.evidence_since(told, self.now_s)
                if self._is_cut(source) or self._is_cut(target):
                    continue
                if self.random.random() < 0.1:
                    continue
                delay_s = self.random.uniform(0.0, 0.15)
                instance.quarantine.judge(self.now_s)
                self.messages.append(
                    (self.now_s + delay_s, source, target, evidence, version)
                )
        due = [item for item in self.messages if item[0] <= self.now_s]
        self.messages = [item for item in self.messages if item not in due]
        for _, source, target, evidence, version in due:
            if self._is_cut(source) or self._is_cut(target):
                continue
            told = self.instances[source].told
            self.instances[target].quarantine.merge(
                evidence,  # type: ignore[arg-type]
                self.now_s,
            )
            told[target] = max(told.get(target, 0), version)

    def _is_cut(self, number: int) -> bool:
        return self.now_s < self.instances[number].cut_until_s

    def _inspect(self) -> None:
        convicted = {
            found.digest
            for instance in self.instances
            for found in instance.quarantine.quarantined(self.now_s)
            if found.digest not in self.poisons
        }
        for digest in self.convicted_at_s.keys() - convicted:
            del self.convicted_at_s[digest]
        for digest in convicted:
            since_s = self.convicted_at_s.setdefault(digest, self.now_s)
            longest_s = self.longest_s_by_innocent.get(digest, 0.0)
            self.longest_s_by_innocent[digest] = max(
                longest_s, self.now_s - since_s
            )


class SearchTest(unittest.TestCase):
    SEEDS = (*range(120), 283, 785)

    def test_late_runs_are_few_and_innocents_stay_free(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                course = Course(seed)
                course.play()
                for late_runs in course.late_runs.values():
                    self.assertLessEqual(late_runs, MAX_LATE_RUNS)
                for digest, longest_s in course.longest_s_by_innocent.items():
                    # Content that is sent all the time ends whole elsewhere.
                    self.assertTrue(digest.startswith(b'poll'))
                    self.assertLess(longest_s, STABLE_S)


if __name__ == '__main__':
    unittest.main()
