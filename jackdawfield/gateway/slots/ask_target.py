"""Choose the failure domain whose owner a call asks for a slot next."""

from dataclasses import dataclass

from jackdawfield.messages.fleet_slots import SlotElsewhere
from jackdawfield.model import DomainId

# Times that one call may be sent to other domains and be returned.
MAX_CROSSINGS = 2


@dataclass(frozen=True, slots=True)
class AskTarget:
    """Holds the domain to ask, and by which other one a call was returned."""

    domain_id: DomainId
    may_spill: bool = True
    needs_open_slot: bool = False
    returned_by: DomainId | None = None
    crossings_left: int = MAX_CROSSINGS

    def elsewhere(self, answer: SlotElsewhere) -> 'AskTarget':
        """Return the target of a call that is sent to another domain."""
        return AskTarget(
            answer.domain_id,
            may_spill=False,
            needs_open_slot=answer.needs_open_slot,
            crossings_left=self.crossings_left - 1,
        )

    def returned(self, own_id: DomainId) -> 'AskTarget':
        """Return the target of a call that the other domain didn't serve."""
        return AskTarget(
            own_id,
            may_spill=self.crossings_left > 0,
            returned_by=self.domain_id,
            crossings_left=self.crossings_left,
        )
