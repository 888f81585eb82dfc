"""Bound a program by its token budget, its turns and its deadline.

Tokens here are those that a model reads and generates.
"""

from dataclasses import dataclass
from enum import Enum

from result import Err
from result import Ok
from result import Result

from jackdawfield.model import CallNumber


class Limit(Enum):
    """Represents a limit of a program."""

    BUDGET = 'budget'
    TURNS = 'turns'
    DEADLINE = 'deadline'


@dataclass(frozen=True, slots=True)
class BudgetRefusal:
    """Refuses a call that has not run, because of a limit.

    If ended, the limit ends the program. Otherwise tokens that running calls
    have reserved may become free.
    """

    limit: Limit
    tokens_left: int
    ended: bool


@dataclass(frozen=True, slots=True)
class Reservation:
    """Holds the most tokens that a call may use and generate."""

    call_number: CallNumber
    tokens: int
    max_new_tokens: int


class Budget:
    """Reserves tokens before a call is dispatched and settles them after it.

    An unsettled call keeps its reservation, so that lost answers and
    takeovers can leave tokens unused, but never exceed the budget.
    """

    __slots__ = (
        'deadline_s',
        'reserved_by_call',
        'spent_tokens',
        'tokens',
        'turn_limit',
        'turns',
    )

    def __init__(
        self,
        tokens: int,
        turn_limit: int,
        deadline_s: float,
        spent_tokens: int = 0,
        turns: int = 0,
    ) -> None:
        self.tokens = tokens
        self.turn_limit = turn_limit
        self.deadline_s = deadline_s
        self.spent_tokens = spent_tokens
        self.turns = turns
        self.reserved_by_call: dict[CallNumber, Reservation] = {}

    @property
    def tokens_left(self) -> int:
        """Return the tokens neither spent nor reserved."""
        reserved = sum(r.tokens for r in self.reserved_by_call.values())
        return self.tokens - self.spent_tokens - reserved

    def reserve(
        self,
        call_number: CallNumber,
        prompt_tokens: int,
        max_new_tokens: int,
        now_s: float,
    ) -> Result[Reservation, BudgetRefusal]:
        """Reserve prompt and answer; shorten the answer to the tokens left."""
        existing = self.reserved_by_call.get(call_number)
        if existing is not None:
            return Ok(existing)
        if now_s >= self.deadline_s:
            return Err(self._refusal(Limit.DEADLINE, ended=True))
        if self.turns >= self.turn_limit:
            return Err(self._refusal(Limit.TURNS, ended=True))
        available_tokens = self.tokens_left
        if prompt_tokens >= available_tokens or max_new_tokens <= 0:
            has_reservations = bool(self.reserved_by_call)
            return Err(self._refusal(Limit.BUDGET, ended=not has_reservations))
        new_tokens = min(max_new_tokens, available_tokens - prompt_tokens)
        reservation = Reservation(
            call_number, prompt_tokens + new_tokens, new_tokens
        )
        self.reserved_by_call[call_number] = reservation
        self.turns += 1
        return Ok(reservation)

    def settle(self, call_number: CallNumber, used_tokens: int) -> None:
        """Replace a call's reservation by the tokens it used, once."""
        if self.reserved_by_call.pop(call_number, None) is None:
            return
        self.spent_tokens += max(0, used_tokens)

    def release(self, call_number: CallNumber) -> None:
        """Release the reservation and the turn of a call that has not run."""
        if self.reserved_by_call.pop(call_number, None) is None:
            return
        self.turns -= 1

    def _refusal(self, limit: Limit, ended: bool) -> BudgetRefusal:
        return BudgetRefusal(limit, max(0, self.tokens_left), ended)
