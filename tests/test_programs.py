from dataclasses import replace
import unittest

from jackdawfield.decisions.history import ChainBroken
from jackdawfield.decisions.history import History
from jackdawfield.decisions.history import TurnMissing
from jackdawfield.decisions.programs import check_access
from jackdawfield.decisions.programs import check_open
from jackdawfield.decisions.programs import claim_row
from jackdawfield.decisions.programs import decode_row
from jackdawfield.decisions.programs import encode_row
from jackdawfield.decisions.programs import end_row
from jackdawfield.decisions.programs import EndReason
from jackdawfield.decisions.programs import find_end_reason
from jackdawfield.decisions.programs import find_home
from jackdawfield.decisions.programs import ForeignProgram
from jackdawfield.decisions.programs import new_program_id
from jackdawfield.decisions.programs import parse_domain_id
from jackdawfield.decisions.programs import ProgramEnded
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.model import Template
from tests.test_placement import member

ROW = ProgramRow('d1.p', 'org', 'quote', 3, 'inc-1', 1000.0)
TEMPLATE = Template('quote', 1000, 3, 60.0, 20.0)


class ProgramTest(unittest.TestCase):
    def test_home_is_in_its_domain_while_that_has_instances(self) -> None:
        by_id = {
            m.instance_id: m for m in (member('a', 'd1'), member('b', 'd2'))
        }
        program_id = new_program_id('d1', 'p')
        self.assertEqual('a', find_home(program_id, by_id))
        del by_id['a']
        self.assertEqual('b', find_home(program_id, by_id))
        self.assertIsNone(find_home(program_id, {}))
        self.assertIsNone(find_home('', by_id))

    def test_refuses_ids_that_name_no_domain(self) -> None:
        for program_id in ('', 'p', '.p', 'd1.', 'd1.p/row'):
            self.assertTrue(parse_domain_id(program_id).is_err())

    def test_row_can_be_decoded_and_refuses_other_organisations(self) -> None:
        row = end_row(claim_row(ROW, 'inc-2'), EndReason.BUDGET)
        self.assertEqual(row, decode_row(encode_row(row)).unwrap())
        self.assertEqual((4, 'inc-2'), (row.epoch, row.home))
        self.assertTrue(decode_row(b'junk').is_err())
        foreign = check_access(row, 'other').unwrap_err()
        self.assertEqual(ForeignProgram(), foreign)
        refused = check_open(row).unwrap_err()
        self.assertEqual(ProgramEnded(EndReason.BUDGET), refused)

    def test_limits_end_a_program(self) -> None:
        def due(turns: int, active: float, now: float) -> EndReason | None:
            return find_end_reason(ROW, TEMPLATE, turns, active, now)

        self.assertIsNone(due(2, 1010.0, 1029.0))
        self.assertEqual(EndReason.TURN_LIMIT, due(3, 1010.0, 1010.0))
        self.assertEqual(EndReason.DEADLINE, due(1, 1059.0, 1060.0))
        self.assertEqual(EndReason.IDLE, due(1, 1010.0, 1030.0))


class HistoryTest(unittest.TestCase):
    def test_refuses_missing_and_changed_turns_and_those_of_others(
        self,
    ) -> None:
        history = History('org', 'd1.p')
        first = history.make_record(b'd1', b'q1', b'a1', 5)
        one = history.extend((first,)).unwrap()
        second = one.make_record(b'd2', b'q2', b'a2', 5)
        self.assertEqual(2, len(one.extend((second,)).unwrap().turns))
        missing = history.extend((second,)).unwrap_err()
        self.assertEqual(TurnMissing(1), missing)
        for change in (
            replace(first, answer=b'a2'),
            replace(first, request=b'q1a', answer=b'1'),
            replace(first, tokens=6),
            replace(first, digest=b'd2'),
        ):
            broken = history.extend((change,)).unwrap_err()
            self.assertEqual(ChainBroken(1), broken)
        for other in (History('org', 'd1.q'), History('org2', 'd1.p')):
            broken = other.extend((first,)).unwrap_err()
            self.assertEqual(ChainBroken(1), broken)
