"""Reserve tokens of a program's budget before a call is dispatched.

Tokens of new prompts are estimated from their length in characters. The
budget is derived from the history for each call; no reservation is stored.
"""

from dataclasses import dataclass
import json

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.budgets import Budget
from jackdawfield.decisions.budgets import BudgetRefusal
from jackdawfield.decisions.budgets import Reservation
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.messages.calls import CallRequest
from jackdawfield.model import Configuration
from jackdawfield.model import TemplateParameters

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256


@dataclass(frozen=True, slots=True)
class ChatLimit:
    """Holds the most tokens that a chat call may generate and use in total."""

    max_new_tokens: int
    tokens: int


def reserve_tokens(
    home: ProgramHome, request: CallRequest, configuration: Configuration
) -> Result[ChatLimit, BudgetRefusal]:
    """Return what a chat call may use, limited by the budget left.

    A program without a budget gets the tokens that it requests.
    """
    body = json.loads(request.body)
    requested_tokens = int(body.get('max_tokens') or DEFAULT_MAX_TOKENS)
    budget = make_budget(home, configuration)
    if budget is None:
        return Ok(ChatLimit(requested_tokens, requested_tokens))
    new_prompt_tokens = (
        len(json.dumps(body['messages'])) // CHARACTERS_PER_TOKEN
    )
    reserved = budget.reserve(
        request.call_number,
        count_context_tokens(home) + new_prompt_tokens,
        requested_tokens,
        0.0,
    )
    match reserved:
        case Ok(Reservation(tokens=tokens, max_new_tokens=max_new_tokens)):
            return Ok(ChatLimit(max_new_tokens, tokens))
        case Err(refusal):
            return Err(refusal)


def make_budget(
    home: ProgramHome, configuration: Configuration
) -> Budget | None:
    """Return a program's budget as its history leaves it.

    It is None for a program without a row or a template.
    """
    row = home.row
    if row is None:
        return None
    template = configuration.templates_by_name.get(row.template_name)
    if template is None:
        return None
    tokens = template.budget_tokens
    match configuration.organisations_by_id.get(row.organisation_id):
        case None:
            pass
        case organisation:
            match organisation.parameters_by_template.get(template.name):
                case TemplateParameters(budget_tokens=organisation_tokens):
                    tokens = min(tokens, organisation_tokens)
    turns = home.history.turns if home.history is not None else ()
    spent_tokens = sum(turn.tokens for turn in turns) + home.failed_tokens
    return Budget(
        tokens, template.turn_limit, float('inf'), spent_tokens, len(turns)
    )


def count_context_tokens(home: ProgramHome) -> int:
    """Return the tokens of the last chat turn, 0 before the first one.

    They include its prompt and its answer, which the next prompt repeats.
    """
    turns = home.history.turns if home.history is not None else ()
    counted = [turn.tokens for turn in turns if turn.tokens]
    return counted[-1] if counted else 0
