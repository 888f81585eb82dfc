"""Hold tokens of programs that other instances have given away.

The tokens are granted in the programs' rows. They count as spent there until
a call uses them, so that those that are lost on the way are never used twice.
"""

from dataclasses import dataclass

# Tokens of programs beyond this many are forgotten, the oldest first.
PROGRAMS_KEPT = 20_000


@dataclass(frozen=True, slots=True)
class GivenTokens:
    """Holds tokens that their giver no longer has.

    `at_s` is when they were last added to, by the boot clock.
    """

    tokens: int
    at_s: float


class TokenPool:
    """Holds given tokens by program until they are taken."""

    def __init__(self) -> None:
        # Programs in the order in which tokens of them were last given.
        self._given_by_program: dict[str, GivenTokens] = {}

    @property
    def tokens(self) -> int:
        """Return the tokens of all programs."""
        return sum(given.tokens for given in self._given_by_program.values())

    def put(self, program: str, tokens: int, now_s: float) -> None:
        """Add tokens that their giver no longer has."""
        if tokens <= 0:
            return
        before = self._given_by_program.pop(program, None)
        total = tokens + (before.tokens if before is not None else 0)
        self._given_by_program[program] = GivenTokens(total, now_s)
        while len(self._given_by_program) > PROGRAMS_KEPT:
            del self._given_by_program[next(iter(self._given_by_program))]

    def take(self, program: str, most: int) -> GivenTokens | None:
        """Remove and return tokens of a program, None if there are none."""
        given = self._given_by_program.get(program)
        if given is None or most <= 0:
            return None
        taken = min(most, given.tokens)
        left = given.tokens - taken
        if left:
            rest = GivenTokens(left, given.at_s)
            self._given_by_program[program] = rest
        else:
            del self._given_by_program[program]
        return GivenTokens(taken, given.at_s)

    def take_of(self, program: str) -> int:
        """Remove and return all tokens of a program."""
        given = self._given_by_program.pop(program, None)
        return given.tokens if given is not None else 0

    def take_all(self) -> dict[str, int]:
        """Remove and return the tokens of every program."""
        tokens_by_program = {
            program: given.tokens
            for program, given in self._given_by_program.items()
        }
        self._given_by_program.clear()
        return tokens_by_program
