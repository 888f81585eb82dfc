"""Define the messages that tell what programs were lent beyond budgets."""

from dataclasses import dataclass

from jackdawfield.messages.base import message


@dataclass(frozen=True, slots=True)
class Loan:
    """Holds the tokens that a program was lent for one request.

    `program` is the text of a ProgramKey. 0 tokens are those of a loan that
    was given back.
    """

    program: str
    request_id: str
    tokens: int


@message
@dataclass(frozen=True, slots=True)
class AskLoans:
    """Asks a member for the loans that it knows."""


@message
@dataclass(frozen=True, slots=True)
class LoansKnown:
    """Answers an AskLoans; only an informed member knows all loans."""

    loans: tuple[Loan, ...]
    is_informed: bool


@message
@dataclass(frozen=True, slots=True)
class NoteLoans:
    """Tells a member of loans that were made or given back."""

    loans: tuple[Loan, ...]


@message
@dataclass(frozen=True, slots=True)
class LoansNoted:
    """Confirms a NoteLoans."""
