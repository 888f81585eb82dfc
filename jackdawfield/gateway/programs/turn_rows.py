"""Read the turns of one program from the store."""

from collections.abc import Mapping
import logging

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.turns import decode_turns
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnError
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.programs.turns import TURNS_TABLE
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# The character after '/': ends the range of the keys that begin with a
# program's key and a slash.
AFTER_SLASH = '0'


async def read_program(
    store: RowStore, program: ProgramKey
) -> Result[Mapping[TurnId, TurnRecord], str]:
    """Return the turns of a program by their ids, or why they are unread."""
    prefix = program.text + '/'
    read = await store.read(
        TURNS_TABLE, program.part, prefix, program.text + AFTER_SLASH
    )
    if isinstance(read, Err):
        return Err(read.err_value.reason)
    try:
        return Ok(decode_turns(read.ok_value.rows))
    except TurnError:
        log_event(LOG, 'turn_unreadable', program=program.text)
        return Err('unreadable turn')
