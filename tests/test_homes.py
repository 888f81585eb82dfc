from dataclasses import replace
import unittest

from jackdawfield.decisions.history import ChainBroken
from jackdawfield.decisions.history import decode_record
from jackdawfield.decisions.history import encode_record
from jackdawfield.decisions.history import InvalidRecord
from jackdawfield.decisions.history import TurnMissing
from jackdawfield.decisions.home_base import HomeLimits
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.programs import EndReason
from jackdawfield.decisions.programs import ProgramEnded
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import turn_key
from jackdawfield.decisions.programs import UnknownProgram
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.takeover import find_program
from jackdawfield.model import Template
from jackdawfield.virtual import VirtualInstance
from jackdawfield.virtual import VirtualTable

PROGRAM = 'd.p'
TEMPLATE = Template('quote', 1000, 7, 600.0, 60.0)
LIMITS = HomeLimits(segment_bytes=250)
RELEASE = Put('release/d.p', b'order')


class HomeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = VirtualTable()
        self.now_s = 0.0
        self.home = self.instance('a')
        row = ProgramRow(PROGRAM, 'org', 'quote', 1, '', 0.0)
        self.home.on(ev.BeginRequested('begin', row, 0.0))
        self.outputs()

    def instance(self, name: str) -> VirtualInstance:
        return VirtualInstance(
            PROGRAM, name, self.table, TEMPLATE, LIMITS, lambda row: (RELEASE,)
        )

    def outputs(self, wait_s: float = 1.2) -> list[ev.Action]:
        self.now_s += wait_s
        self.home.advance(self.now_s)
        return self.home.take_outputs()

    def present(self, number: int) -> list[ev.Action]:
        call = ev.CallReceived(
            f'{number}', 'org', number, b'%d' % number, self.now_s, self.now_s
        )
        self.home.on(call)
        return self.outputs(0.0)

    def turn(self, number: int) -> ev.Action:
        self.assertEqual(
            [ev.RunCall(f'{number}', number)], self.present(number)
        )
        self.home.finish(number, b'a' * 100, self.now_s)
        (answer,) = self.outputs()
        return answer

    def refusal(self, number: int) -> object:
        (action,) = self.present(number)
        self.assertIsInstance(action, ev.Refuse)
        return action.error

    def end(self) -> list[ev.Action]:
        self.home.on(
            ev.EndRequested('end', 'org', EndReason.REQUESTED, self.now_s)
        )
        return self.outputs()

    def stored(self) -> ProgramRow:
        found = find_program(PROGRAM, self.table.rows(PROGRAM)).unwrap()
        return found.row

    def test_long_history_moves_to_objects_and_back(self) -> None:
        answers = [self.turn(number) for number in range(1, 7)]
        row = self.stored()
        self.assertGreaterEqual(len(row.segments), 1)
        self.assertIsNone(
            self.table.rows_by_key.get(turn_key(PROGRAM, row.segment_turns))
        )
        self.home = self.instance('b')
        (repeated,) = self.present(1)
        self.assertEqual(answers[0].record, repeated.record)
        self.assertIsNone(self.turn(7).tail)

    def test_refuses_objects_that_are_missing_or_changed(self) -> None:
        for number in range(1, 7):
            self.turn(number)
        key, value = next(iter(self.table.objects_by_key.items()))
        self.home = self.instance('b')
        self.table.objects_by_key.clear()
        error = ev.HistoryDamaged(TurnMissing(1))
        self.assertEqual(error, self.refusal(7))
        self.table.objects_by_key[key] = value[:-1] + b'x'
        error = ev.HistoryDamaged(ChainBroken(self.stored().segment_turns))
        self.assertEqual(error, self.refusal(7))
        self.table.objects_by_key[key] = b'\xc1'
        damaged = self.refusal(7)
        self.assertIsInstance(damaged.error, InvalidRecord)
        self.table.objects_by_key[key] = value
        self.assertEqual([ev.RunCall('7', 7)], self.present(7))

    def test_refuses_rows_that_are_changed_or_missing(self) -> None:
        self.turn(1)
        self.turn(2)
        key = turn_key(PROGRAM, 1)
        row = self.table.rows_by_key[key]
        record = decode_record(row.value).unwrap()
        changed = encode_record(replace(record, answer=b'other'))
        self.table.rows_by_key[key] = replace(row, value=changed)
        self.home = self.instance('b')
        error = ev.HistoryDamaged(ChainBroken(1))
        self.assertEqual(error, self.refusal(3))
        del self.table.rows_by_key[key]
        error = ev.HistoryDamaged(TurnMissing(1))
        self.assertEqual(error, self.refusal(3))
        self.table.rows_by_key.clear()
        self.assertEqual(UnknownProgram(), self.refusal(3))

    def test_turn_limit_ends_a_program_and_writes_its_release(self) -> None:
        for number in range(1, 8):
            self.turn(number)
        ended = ProgramEnded(EndReason.TURN_LIMIT)
        self.assertEqual(ended, self.refusal(8))
        self.outputs()
        self.assertEqual(EndReason.TURN_LIMIT, self.stored().end_reason)
        self.assertIn(RELEASE.key, self.table.rows_by_key)
        self.home = self.instance('b')
        self.assertEqual(ended, self.refusal(8))

    def test_idle_time_ends_a_program(self) -> None:
        self.turn(1)
        self.outputs(wait_s=59.0)
        self.assertIsNone(self.stored().end_reason)
        self.outputs(wait_s=2.0)
        self.outputs()
        self.assertEqual(EndReason.IDLE, self.stored().end_reason)

    def test_end_is_confirmed_only_once_it_is_durable(self) -> None:
        self.turn(1)
        self.table.down = True
        self.assertEqual([ev.Refuse('end', ev.EndNotDurable())], self.end())
        self.assertIsNone(self.stored().end_reason)
        self.table.down = False
        self.outputs()
        self.assertEqual([ev.ConfirmEnd('end')], self.end())
        self.assertEqual(EndReason.REQUESTED, self.stored().end_reason)
        self.assertEqual(ProgramEnded(EndReason.REQUESTED), self.refusal(2))

    def test_repeated_end_waits_for_durability_too(self) -> None:
        self.turn(1)
        self.table.down = True
        self.end()
        refused = self.end()
        self.assertEqual([ev.Refuse('end', ev.EndNotDurable())], refused)
