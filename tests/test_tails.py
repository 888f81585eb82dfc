from dataclasses import replace
import unittest
from unittest import mock

from jackdawfield.decisions.history import History
from jackdawfield.decisions.programs import ProgramRow
import jackdawfield.decisions.tails as tails
from jackdawfield.decisions.tails import join_tails
from jackdawfield.decisions.tails import merge_tail
from jackdawfield.decisions.tails import seal
from jackdawfield.decisions.tails import Tail
from jackdawfield.decisions.tails import TailGap
from jackdawfield.decisions.tails import TailInvalid
from jackdawfield.decisions.tails import TailOld
from jackdawfield.decisions.tails import unseal

KEY = bytes(range(32))
NONCE = bytes(12)
ROW = ProgramRow('d1.p', 'org', 'quote', 1, 'inc', 0.0)


def history(turns: int, answer: str = 'a', program: str = 'd1.p') -> History:
    value = History('org', program)
    for n in range(1, turns + 1):
        record = value.make_record(b'd%d' % n, b'q%d' % n, answer.encode(), 1)
        value = value.extend((record,)).unwrap()
    return value


def tail(value: History, base: int) -> Tail:
    return Tail(base, value.chain_at(base), value.turns[base:])


class SealTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tail = replace(tail(history(2), 0), row=ROW)
        self.sealed = seal(KEY, NONCE, 'org', 'd1.p', self.tail)

    def test_unseals_for_its_own_program(self) -> None:
        opened = unseal(KEY, 'org', 'd1.p', self.sealed).unwrap()
        self.assertEqual(self.tail, opened)
        self.assertNotIn(b'q1', self.sealed)

    def test_refuses_other_programs_organisations_and_keys(self) -> None:
        for key, organisation, program in (
            (KEY, 'org2', 'd1.p'),
            (KEY, 'org', 'd1.q'),
            (KEY, 'or', 'gd1.p'),
            (bytes(32), 'org', 'd1.p'),
        ):
            found = unseal(key, organisation, program, self.sealed)
            self.assertEqual(TailInvalid(), found.unwrap_err())

    def test_refuses_every_changed_byte_and_every_truncation(self) -> None:
        for index in range(len(self.sealed)):
            changed = bytearray(self.sealed)
            changed[index] ^= 1
            found = unseal(KEY, 'org', 'd1.p', bytes(changed))
            self.assertTrue(found.is_err())
            cut = unseal(KEY, 'org', 'd1.p', self.sealed[:index])
            self.assertTrue(cut.is_err())

    def test_check_detects_a_tail_without_associated_data(self) -> None:
        with mock.patch.object(tails, '_associated_data', lambda *ids: b''):
            sealed = seal(KEY, NONCE, 'org', 'd1.p', self.tail)
            self.assertTrue(unseal(KEY, 'org2', 'd1.q', sealed).is_ok())


class MergeTest(unittest.TestCase):
    def test_adds_missing_turns(self) -> None:
        merged = merge_tail(history(1), tail(history(3), 0)).unwrap()
        self.assertEqual(
            (history(3), 2), (merged.history, merged.first_changed_turn)
        )
        same = merge_tail(history(3), tail(history(3), 1)).unwrap()
        self.assertIsNone(same.first_changed_turn)

    def test_replaces_only_a_last_turn_without_a_received_answer(self) -> None:
        presented = tail(history(2, 'told'), 1)
        current = history(2)
        self.assertEqual(
            TailOld(2, 2), merge_tail(current, presented).unwrap_err()
        )
        first = history(1)
        record = first.make_record(b'd2', b'q2', b'told', 1)
        presented = Tail(1, first.chain, (record,))
        merged = merge_tail(current, presented).unwrap()
        self.assertEqual((record, 2), (merged.history.turns[1], 2))
        longer = history(3)
        self.assertEqual(
            TailOld(2, 3), merge_tail(longer, presented).unwrap_err()
        )

    def test_refuses_gaps_and_turns_of_other_programs(self) -> None:
        gap = merge_tail(history(1), tail(history(4), 3)).unwrap_err()
        self.assertEqual(TailGap(3, 1), gap)
        foreign = tail(history(2, program='d1.q'), 0)
        self.assertEqual(
            TailOld(2, 0), merge_tail(history(0), foreign).unwrap_err()
        )
        base = history(1)
        turns = history(3, program='d1.q').turns[1:]
        mixed = Tail(1, base.chain, turns)
        self.assertEqual(TailInvalid(), merge_tail(base, mixed).unwrap_err())

    def test_joins_the_tails_of_several_answers(self) -> None:
        whole = history(4)
        parts = (
            Tail(2, whole.chain_at(2), whole.turns[2:3]),
            replace(Tail(0, whole.chain_at(0), whole.turns[:2]), row=ROW),
            Tail(1, whole.chain_at(1), whole.turns[1:4]),
        )
        joined = join_tails(parts).unwrap()
        self.assertEqual(replace(tail(whole, 0), row=ROW), joined)
        gap = join_tails((parts[1], tail(whole, 3))).unwrap_err()
        self.assertEqual(TailGap(3, 2), gap)
        self.assertIsNone(join_tails(()).unwrap())
