import os
import unittest

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.turns import build_prompt
from jackdawfield.gateway.programs.turns import decode_turns
from jackdawfield.gateway.programs.turns import encode_turn
from jackdawfield.gateway.programs.turns import index_key
from jackdawfield.gateway.programs.turns import program_key
from jackdawfield.gateway.programs.turns import shorten_id
from jackdawfield.gateway.programs.turns import TurnError
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.programs.turns import TURNS_TABLE
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

ORGANISATION = OrganisationId('org')
PROGRAM = program_key(ORGANISATION, ProgramId('program'))


def record(turn: str, parent: str | None, given: bytes) -> TurnRecord:
    return TurnRecord(
        TurnId(turn),
        ORGANISATION,
        PROGRAM.text,
        PROGRAM.text if parent else None,
        TurnId(parent) if parent else None,
        given,
        b'answer\n',
        ServerId('server'),
        60.0,
    )


class TurnsTest(unittest.TestCase):
    def test_rows_decode_to_the_same_turn(self) -> None:
        kept = record('turn', 'parent', os.urandom(5000))
        rows = encode_turn(kept, 1000)
        self.assertTrue(all(len(value) <= 1000 for _, value in rows))
        stored = [
            StoredRow(key, value, 1)
            for key, value in rows
            if key.table == TURNS_TABLE
        ]
        self.assertGreater(len(stored), 4)
        self.assertEqual(decode_turns(stored), {kept.turn_id: kept})

    def test_missing_piece_is_an_error(self) -> None:
        rows = encode_turn(record('turn', None, os.urandom(5000)), 1000)
        stored = [StoredRow(key, value, 1) for key, value in rows[1:-1]]
        with self.assertRaises(TurnError):
            decode_turns(stored)

    def test_index_row_holds_the_program(self) -> None:
        rows = encode_turn(record('turn', None, b'x'), 1000)
        key, value = rows[-1]
        expected = index_key(ORGANISATION, TurnId('turn'), PROGRAM.part)
        self.assertEqual(key, expected)
        self.assertEqual(value.decode(), PROGRAM.text)

    def test_all_rows_are_in_one_part(self) -> None:
        rows = encode_turn(record('turn', None, os.urandom(9000)), 1000)
        self.assertEqual({key.part for key, _ in rows}, {PROGRAM.part})

    def test_prompt_holds_the_chain_then_the_new_input(self) -> None:
        chain = [record('1', None, b'one'), record('2', '1', b'two')]
        self.assertEqual(
            build_prompt(chain, b'three'), b'oneanswer\ntwoanswer\nthree'
        )

    def test_organisations_do_not_share_programs(self) -> None:
        other = program_key(OrganisationId('other'), ProgramId('program'))
        self.assertNotEqual(other, PROGRAM)

    def test_ids_that_do_not_fit_into_a_key_are_hashed(self) -> None:
        self.assertLessEqual(len(shorten_id('x' * 5000)), 40)
        self.assertNotIn('/', shorten_id('a/b'))
        self.assertEqual(shorten_id('9c41d07be2a35f68'), '9c41d07be2a35f68')
