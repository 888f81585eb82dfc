"""Create and end programs for callers.

The home of a program is the instance that owns it and runs its calls.
"""

import json
import secrets

from result import Err
from result import Ok

from jackdawfield.drivers.callers import bad_request_failure
from jackdawfield.drivers.callers import CallerHandler
from jackdawfield.drivers.callers import TAIL_HEADER
from jackdawfield.errors import make_failure
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CreateProgram
from jackdawfield.messages.calls import EndProgram
from jackdawfield.messages.calls import ProgramAnswer
from jackdawfield.model import ProgramId
from jackdawfield.model import TemplateName


class ProgramsHandler(CallerHandler):
    """Creates programs and answers with their state."""

    async def post(self) -> None:
        """Create a program from a template."""
        match self.authenticate():
            case Err(failed):
                self.answer_failure(failed)
                return
            case Ok(credential):
                pass
        try:
            value = json.loads(self.request.body)
        except ValueError as error:
            self.answer_failure(
                bad_request_failure(f'body is no JSON: {error}')
            )
            return
        if not isinstance(value, dict) or not isinstance(
            value.get('template'), str
        ):
            self.answer_failure(
                bad_request_failure('expected an object with a template')
            )
            return
        template = TemplateName(value['template'])
        configuration = self.context.contracts.configuration
        organisation = configuration.organisations_by_id.get(
            credential.organisation_id
        )
        if organisation is None or (
            template not in organisation.parameters_by_template
        ):
            self.answer_failure(
                make_failure(403, 'template_closed', 'not open to the key')
            )
            return
        local_id = secrets.token_hex(12)
        program_id = ProgramId(f'{self.context.settings.domain_id}.{local_id}')
        request = CreateProgram(
            program_id,
            credential.organisation_id,
            template,
            credential.key_id,
            str(value.get('parent', '')),
        )
        limit_s = self.context.settings.limits.default_deadline_s
        self.answer(
            await self.context.forwarder.request_answer(request, limit_s)
        )

    def answer(self, reply: object) -> None:
        """Send the answer of a program's home."""
        match reply:
            case ProgramAnswer(program_id, state, turns, tokens_left, tail):
                self.set_header('Content-Type', 'application/json')
                if tail:
                    self.set_header(TAIL_HEADER, tail)
                self.finish(
                    json.dumps(
                        {
                            'program': program_id,
                            'state': state,
                            'turns': turns,
                            'tokens_left': tokens_left,
                        }
                    )
                )
            case CallFailed() as failed:
                self.answer_failure(failed)


class ProgramHandler(ProgramsHandler):
    """Ends programs."""

    async def delete(self, program: str) -> None:
        """End a program of the organisation whose key the request carries."""
        match self.authenticate():
            case Err(failed):
                self.answer_failure(failed)
                return
            case Ok(credential):
                pass
        program_id = ProgramId(program)
        request = EndProgram(program_id, credential.organisation_id)
        limit_s = self.context.settings.limits.default_deadline_s
        self.answer(
            await self.context.forwarder.request_answer(request, limit_s)
        )
