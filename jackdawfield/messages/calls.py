"""Define the messages that forward a caller's request to a program's home.

The home of a program is the one instance that owns it and runs its calls.
A tail holds sealed turns that are not durable yet, for the caller to send
back. A position is the chain hash of the last turn that the caller received.
"""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import CallNumber
from jackdawfield.model import Execution
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RouteName
from jackdawfield.model import TemplateName


@message
@dataclass(frozen=True, slots=True)
class CallRequest:
    """Requests that a home runs one call; deadline_s is the time left."""

    request_id: str
    organisation_id: OrganisationId
    program_id: ProgramId
    call_number: CallNumber
    route_name: RouteName
    body: bytes
    deadline_s: float
    streamed: bool = False
    key_id: str = ''
    tail: str = ''
    position: str = ''


@message
@dataclass(frozen=True, slots=True)
class CallChunk:
    """Holds one part of the text of a streamed response."""

    text: str


@message
@dataclass(frozen=True, slots=True)
class CallFinished:
    """Ends a complete response; its turn is durable or sealed in the tail."""

    body: bytes = b''
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    tail: str = ''
    repeated: bool = False
    position: str = ''


@message
@dataclass(frozen=True, slots=True)
class CallFailed:
    """Ends a call with an error; retry_after_s is 0 if no retry is advised."""

    status: int
    code: str
    reason: str
    execution: Execution
    retry_after_s: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class CreateProgram:
    """Requests that an instance creates a program and becomes its home."""

    program_id: ProgramId
    organisation_id: OrganisationId
    template_name: TemplateName
    key_id: str = ''
    parent_id: str = ''


@message
@dataclass(frozen=True, slots=True)
class EndProgram:
    """Requests that the home ends a program."""

    program_id: ProgramId
    organisation_id: OrganisationId
    reason: str = 'ended by caller'


@message
@dataclass(frozen=True, slots=True)
class ProgramAnswer:
    """Holds the state of a program after it was created or ended."""

    program_id: ProgramId
    state: str
    turns: int = 0
    tokens_left: int = 0
    tail: str = ''


CallEvent = CallChunk | CallFinished | CallFailed
