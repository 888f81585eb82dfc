"""Define the messages that tell which instances served which programs."""

from dataclasses import dataclass

from jackdawfield.messages.base import message


@message
@dataclass(frozen=True, slots=True)
class ProgramsServed:
    """Tells that an instance holds accounts or turns of programs.

    `programs` are texts of ProgramKey, the most recently used first.
    """

    address: str
    programs: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class ProgramsNoted:
    """Confirms a ProgramsServed."""


@message
@dataclass(frozen=True, slots=True)
class AskWhoServed:
    """Asks which instances have served a program."""

    program: str


@message
@dataclass(frozen=True, slots=True)
class ServedBy:
    """Names the instances that served a program, the latest first."""

    addresses: tuple[str, ...]
