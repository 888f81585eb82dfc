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


@message
@dataclass(frozen=True, slots=True)
class AskOverdraft:
    """Asks a member for tokens to hand over before they are recorded.

    `most_tokens` is what the member lends at most to the program, `address`
    that of the asker. Earlier versions do not name it, nor the request.
    """

    program: str
    most_tokens: int
    request_id: str = ''
    address: str = ''


@message
@dataclass(frozen=True, slots=True)
class OverdraftGranted:
    """Grants tokens that the asker records, and then gives back."""

    tokens: int


@message
@dataclass(frozen=True, slots=True)
class GiveBackOverdraft:
    """Gives back tokens that were not handed over, or are recorded by now."""

    program: str
    tokens: int
    request_id: str = ''


@message
@dataclass(frozen=True, slots=True)
class OverdraftGivenBack:
    """Confirms a GiveBackOverdraft."""


@message
@dataclass(frozen=True, slots=True)
class TakeTokens:
    """Asks an instance to give away tokens of a program that it does not use.

    `program` is the text of a ProgramKey.
    """

    program: str
    most_tokens: int


@message
@dataclass(frozen=True, slots=True)
class TokensGiven:
    """Gives tokens to the asker; the sender no longer has them.

    `age_s` is the time for which they have lain with the sender.
    """

    tokens: int
    age_s: float


@message
@dataclass(frozen=True, slots=True)
class HandOverTokens:
    """Gives tokens of programs to an instance that holds them for others.

    The sender no longer has them. `lent_by_program` are tokens that it lent
    in place of the receiver, which lends them from now on.
    """

    tokens_by_program: dict[str, int]
    lent_by_program: dict[str, int]


@message
@dataclass(frozen=True, slots=True)
class TokensTaken:
    """Confirms a HandOverTokens."""
