"""Define the messages that move unused tokens of program budgets."""

from dataclasses import dataclass

from jackdawfield.messages.base import message


@message
@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Asks an instance to return the tokens of a program that it holds.

    `program` is the text of a ProgramKey.
    """

    program: str


@message
@dataclass(frozen=True, slots=True)
class TokensReturned:
    """Answers a ReturnTokens: whether the program's row was lowered."""

    any: bool
