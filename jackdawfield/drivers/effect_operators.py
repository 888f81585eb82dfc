"""List and settle effects with unknown outcomes for operators.

An effect is a call that may run at most once. To settle it is to record
whether it ran, as an operator states.
"""

from dataclasses import dataclass
from typing import Any
from typing import Literal

import msgspec
from result import Err
from result import Ok

from jackdawfield.decisions.effect_rows import RowState
from jackdawfield.drivers.admin import AdminContext
from jackdawfield.drivers.admin import OperatorHandler
from jackdawfield.drivers.effects import EffectsDriver
from jackdawfield.drivers.effects import SettleFault
from jackdawfield.model import EffectId

STATUS_BY_FAULT = {
    SettleFault.NOT_FOUND: 404,
    SettleFault.NOT_SETTLEABLE: 409,
    SettleFault.CONFLICT: 409,
    SettleFault.TABLE_UNREACHABLE: 503,
}


class SettleBody(msgspec.Struct, frozen=True):
    """Holds the JSON body of an operator's settlement."""

    outcome: Literal['ran', 'not run']
    operator: str
    note: str = ''


@dataclass(frozen=True, slots=True)
class Settled:
    """Holds the outcome that was recorded for an effect."""

    effect_id: EffectId
    state: str


@dataclass(frozen=True, slots=True)
class EffectRefused:
    """Holds the reason why effects were not listed or settled."""

    error: str


class EffectHandler(OperatorHandler):
    """Gives handlers access to the effects."""

    def initialize(  # type: ignore[override]
        self, admin: AdminContext, effects: EffectsDriver
    ) -> None:
        """Set the components that the handlers use."""
        self.admin = admin
        self.effects = effects


class EffectsHandler(EffectHandler):
    """Lists the effects with unknown outcomes."""

    async def get(self) -> None:
        """Answer with the effects, or 503 if the table cannot be read."""
        match await self.effects.list_unresolved():
            case Ok(effects):
                self.answer(effects)
            case Err(reason):
                self.answer(EffectRefused(reason), 503)


class SettleHandler(EffectHandler):
    """Settles effects with unknown outcomes."""

    async def post(self, effect: str) -> None:
        """Record the outcome that the operator states, or answer why not."""
        try:
            body = msgspec.json.decode(self.request.body, type=SettleBody)
        except msgspec.MsgspecError as error:
            self.answer(EffectRefused(str(error)), 400)
            return
        result = await self.effects.settle(
            EffectId(effect), RowState(body.outcome), body.operator, body.note
        )
        if isinstance(result, Err):
            fault = result.err_value
            self.answer(EffectRefused(fault.value), STATUS_BY_FAULT[fault])
            return
        self.answer(Settled(EffectId(effect), body.outcome))


def effect_routes(admin: AdminContext, effects: EffectsDriver) -> list[Any]:
    """Return the HTTP routes of this module."""
    arguments = {'admin': admin, 'effects': effects}
    return [
        ('/admin/v1/effects', EffectsHandler, arguments),
        (r'/admin/v1/effects/([^/]+)/settle', SettleHandler, arguments),
    ]
