"""Test the fate of streams without a network.

Each test plays what a server sends: whole events, half an event, silence,
bytes without end, the wrong continuation.
"""

import random
import unittest

from jackdawfield.event_stream import MAX_EVENT_BYTES
from jackdawfield.gateway.streams.progress import Complete
from jackdawfield.gateway.streams.progress import Fail
from jackdawfield.gateway.streams.progress import HeadArrived
from jackdawfield.gateway.streams.progress import PassOn
from jackdawfield.gateway.streams.progress import PieceArrived
from jackdawfield.gateway.streams.progress import Resume
from jackdawfield.gateway.streams.progress import StreamAction
from jackdawfield.gateway.streams.progress import StreamEnded
from jackdawfield.gateway.streams.progress import StreamInput
from jackdawfield.gateway.streams.progress import StreamLimits
from jackdawfield.gateway.streams.progress import StreamProgress
from jackdawfield.gateway.streams.progress import TimePassed

GAP_S = 2.5
RESUMABLE = StreamLimits(GAP_S, max_resumptions=3)
NOT_RESUMABLE = StreamLimits(GAP_S)


def event(number: int) -> bytes:
    return b'id: %d\ndata: text %d\n\n' % (number, number)


def stream(first: int, last: int) -> bytes:
    return b''.join(event(number) for number in range(first, last + 1))


class ProgressTest(unittest.TestCase):
    def begin(
        self, limits: StreamLimits, last_event_id: bytes | None = None
    ) -> None:
        self.progress = StreamProgress(limits, last_event_id, 0.0)
        self.passed = b''
        self.on(HeadArrived(True))

    def on(self, given: StreamInput) -> list[StreamAction]:
        """Return the actions apart from PassOn, which are collected."""
        others: list[StreamAction] = []
        for action in self.progress.on(given):
            match action:
                case PassOn(data):
                    self.passed += data
                case _:
                    others.append(action)
        return others

    def piece(self, data: bytes, now_s: float = 0.0) -> list[StreamAction]:
        return self.on(PieceArrived(data, now_s))

    def cut(self, now_s: float = 0.0) -> list[StreamAction]:
        return self.on(StreamEnded(False, now_s))

    def end(self) -> list[StreamAction]:
        return self.on(StreamEnded(True, 0.0))

    def resume(self, actions: list[StreamAction]) -> bytes | None:
        """Follow the one order to resume; return the event to go on after."""
        (action,) = actions
        assert isinstance(action, Resume), action
        self.on(HeadArrived(True))
        return action.last_event_id

    def test_events_are_passed_on_as_they_complete(self) -> None:
        self.begin(NOT_RESUMABLE)
        self.piece(event(0) + event(1)[:5])
        self.assertEqual(self.passed, event(0))
        self.piece(event(1)[5:])
        self.assertEqual(self.passed, stream(0, 1))
        self.assertEqual(self.end(), [Complete()])

    def test_half_an_event_is_never_passed_on_as_complete(self) -> None:
        for limits in (RESUMABLE, NOT_RESUMABLE):
            for size in range(1, len(event(1))):
                self.begin(limits)
                self.piece(event(0) + event(1)[:size])
                (action,) = self.cut()
                self.assertEqual(self.passed, event(0))
                self.assertNotIsInstance(action, Complete)

    # Guards against half an event that reaches a caller in a complete answer.
    def test_stream_that_ends_inside_an_event_has_broken_off(self) -> None:
        for limits in (RESUMABLE, NOT_RESUMABLE):
            for size in range(1, len(event(1))):
                self.begin(limits)
                self.piece(event(0) + event(1)[:size])
                (action,) = self.end()
                self.assertEqual(self.passed, event(0))
                if limits is RESUMABLE:
                    assert isinstance(action, Resume), action
                    self.assertEqual(action.last_event_id, b'0')
                else:
                    self.assertEqual(action, Fail('ended inside an event'))

    def test_end_that_is_not_confirmed_stays_so_for_the_caller(self) -> None:
        self.progress = StreamProgress(NOT_RESUMABLE, None, 0.0)
        self.on(HeadArrived(True, is_framed=False))
        self.passed = b''
        self.piece(event(0))
        self.assertEqual(
            self.on(StreamEnded(True, 0.0, is_confirmed=False)),
            [Complete(is_confirmed=False)],
        )

    # Guards against a last chunk that says more than the server did.
    def test_framed_answer_needs_a_confirmed_end(self) -> None:
        unconfirmed = StreamEnded(True, 0.0, is_confirmed=False)
        self.begin(RESUMABLE)
        self.piece(event(0))
        (action,) = self.cut()
        self.assertIsInstance(action, Resume)
        self.on(HeadArrived(True, is_framed=False))
        self.piece(event(1))
        self.assertEqual(self.resume(self.on(unconfirmed)), b'1')
        self.assertEqual(self.end(), [Complete()])

    def test_stream_that_may_not_be_resumed_fails(self) -> None:
        self.begin(NOT_RESUMABLE)
        self.piece(event(0))
        self.assertEqual(self.cut(), [Fail('cut')])

    def test_resumed_after_the_last_whole_event(self) -> None:
        self.begin(RESUMABLE)
        self.piece(stream(0, 2) + event(3)[:7])
        self.assertEqual(self.resume(self.cut()), b'2')
        self.piece(stream(3, 5))
        self.assertEqual(self.end(), [Complete()])
        self.assertEqual(self.passed, stream(0, 5))

    def test_stream_that_broke_off_anywhere_arrives_once(self) -> None:
        whole = stream(0, 6)
        rng = random.Random(1)
        for seed in range(300):
            with self.subTest(seed=seed):
                self.begin(RESUMABLE)
                start = 0
                for _ in range(rng.randint(0, 3)):
                    # A server may go on with an event that was passed on.
                    sent = whole[start : rng.randint(start, len(whole))]
                    while sent:
                        size = rng.randint(1, 30)
                        self.piece(sent[:size])
                        sent = sent[size:]
                    last = self.resume(self.cut())
                    next_event = 0 if last is None else int(last) + 1
                    next_event = max(0, next_event - rng.randint(0, 1))
                    start = len(stream(0, next_event - 1))
                self.piece(whole[start:])
                self.assertEqual(self.end(), [Complete()])
                self.assertEqual(self.passed, whole)

    def test_stream_without_any_event_starts_anew(self) -> None:
        self.begin(RESUMABLE)
        self.piece(b'id: 0\nda')
        self.assertIsNone(self.resume(self.cut()))
        self.piece(event(0))
        self.assertEqual(self.passed, event(0))

    def test_caller_resumes_with_its_own_last_event(self) -> None:
        self.begin(RESUMABLE, b'4')
        self.assertEqual(self.resume(self.cut()), b'4')
        self.piece(stream(3, 6))
        self.assertEqual(self.passed, stream(5, 6))

    def test_gap_after_a_resumption_fails(self) -> None:
        self.begin(RESUMABLE)
        self.piece(stream(0, 2))
        self.resume(self.cut())
        (action,) = self.piece(event(4))
        self.assertIsInstance(action, Fail)
        self.assertEqual(self.passed, stream(0, 2))

    def test_events_without_ids_are_not_resumed(self) -> None:
        self.begin(RESUMABLE)
        self.piece(b'data: text\n\n')
        self.assertEqual(self.cut(), [Fail('cut')])

    def test_resumptions_are_limited(self) -> None:
        self.begin(StreamLimits(GAP_S, max_resumptions=2))
        self.piece(event(0))
        self.resume(self.cut())
        self.resume(self.cut())
        self.assertEqual(self.cut(), [Fail('cut')])

    def test_not_resumed_after_its_caller_left(self) -> None:
        self.begin(RESUMABLE)
        self.piece(event(0), 1.0)
        self.assertEqual(self.cut(1.0 + GAP_S), [Fail('cut')])

    def test_another_kind_of_response_is_no_continuation(self) -> None:
        self.begin(RESUMABLE)
        self.piece(event(0))
        (action,) = self.cut()
        self.assertIsInstance(action, Resume)
        (action,) = self.on(HeadArrived(False))
        self.assertIsInstance(action, Fail)

    def test_slow_sound_stream_goes_on(self) -> None:
        self.begin(NOT_RESUMABLE)
        for number in range(20):
            now_s = 2.4 * number
            self.assertEqual(self.on(TimePassed(now_s - 0.1)), [])
            self.piece(event(number), now_s)
        self.assertEqual(self.end(), [Complete()])
        self.assertEqual(self.passed, stream(0, 19))

    def test_trickled_bytes_do_not_keep_a_stream_alive(self) -> None:
        self.begin(NOT_RESUMABLE)
        self.piece(event(0), 1.0)
        for step in range(1, 25):
            self.assertEqual(self.piece(b':', 1.0 + step / 10), [])
        self.assertAlmostEqual(self.progress.next_check_s(), 1.0 + GAP_S)
        (action,) = self.on(TimePassed(1.0 + GAP_S))
        self.assertIsInstance(action, Fail)

    def test_silent_stream_is_resumed_elsewhere_while_awaited(self) -> None:
        self.begin(StreamLimits(GAP_S, 3, resume_gap_s=1.2))
        self.piece(event(0), 1.0)
        self.assertAlmostEqual(self.progress.next_check_s(), 2.2)
        (action,) = self.on(TimePassed(2.2))
        assert isinstance(action, Resume)
        self.assertTrue(action.elsewhere)
        self.on(HeadArrived(True))
        self.assertAlmostEqual(self.progress.next_check_s(), 1.0 + GAP_S)

    def test_event_without_end_is_bounded(self) -> None:
        for limits, expected in ((NOT_RESUMABLE, Fail), (RESUMABLE, Resume)):
            self.begin(limits)
            self.piece(event(0))
            actions: list[StreamAction] = []
            sent = 0
            while not actions:
                actions = self.piece(b'x' * 65536)
                sent += 65536
                self.assertLessEqual(sent, MAX_EVENT_BYTES + 65536)
            self.assertIsInstance(actions[0], expected)
            self.assertEqual(self.passed, event(0))

    # Guards against a stream that never ends since bytes keep coming, so that
    # nobody looks at the time.
    def test_bytes_that_complete_no_event_are_as_good_as_silence(self) -> None:
        for fill in (b'x', b'\n', b':\n\n', b'id: 9\n\n', b'event: x\n\n'):
            with self.subTest(fill):
                self.begin(NOT_RESUMABLE)
                self.piece(event(0), 1.0)
                self.assertEqual(self.piece(fill, 1.0 + GAP_S / 2), [])
                self.assertEqual(
                    self.piece(fill, 1.0 + GAP_S),
                    [Fail('no complete event in time')],
                )

    def test_events_keep_a_stream_alive(self) -> None:
        self.begin(NOT_RESUMABLE)
        for number in range(6):
            self.assertEqual(self.piece(event(number), number * 2.0), [])

    # Guards against an answer that is kept in memory without a limit.
    def test_turn_is_bounded_by_its_bytes(self) -> None:
        limit = 4 * len(event(0))
        self.begin(StreamLimits(GAP_S, max_bytes=limit))
        for number in range(4):
            self.assertEqual(self.piece(event(number)), [])
        self.assertEqual(
            self.piece(event(4)), [Fail('larger than a turn may be')]
        )

    def test_more_events_than_the_call_allows_are_not_passed_on(self) -> None:
        self.begin(StreamLimits(GAP_S, max_events=3))
        actions = self.piece(stream(0, 9))
        self.assertIsInstance(actions[0], Fail)
        self.assertEqual(self.passed, stream(0, 2))

    def test_other_bodies_are_passed_on_unchanged(self) -> None:
        self.progress = StreamProgress(RESUMABLE, None, 0.0)
        self.passed = b''
        self.on(HeadArrived(False))
        self.piece(b'no ')
        self.piece(b'events')
        self.assertEqual(self.end(), [Complete()])
        self.assertEqual(self.passed, b'no events')
        self.assertIsInstance(self.cut()[0], Fail)
