"""Remember to which failure domain the context of a program has moved."""

from collections import OrderedDict
from dataclasses import dataclass

from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.model import DomainId
from jackdawfield.model import ProgramId

# Contexts held at most; the one recorded longest ago is dropped.
MAX_CONTEXTS = 4096


@dataclass(frozen=True, slots=True)
class MovedContext:
    """Holds the domain that has a context cached, and how many tokens."""

    domain_id: DomainId
    tokens: int


class MovedContexts:
    """Holds the contexts whose last call was sent to another domain."""

    def __init__(self) -> None:
        self._moved_by_context: OrderedDict[ProgramId, MovedContext] = (
            OrderedDict()
        )

    def record(
        self, context_id: ProgramId, domain_id: DomainId, tokens: int
    ) -> None:
        """Record a call sent to another domain."""
        self._moved_by_context[context_id] = MovedContext(domain_id, tokens)
        self._moved_by_context.move_to_end(context_id)
        if len(self._moved_by_context) > MAX_CONTEXTS:
            self._moved_by_context.popitem(last=False)

    def find(self, demand: SlotDemand) -> MovedContext | None:
        """Return where a request's context has moved, None if it has not."""
        moved = self._moved_by_context.get(demand.context_id)
        if moved is not None or demand.prefix_domain_id is None:
            return moved
        return MovedContext(demand.prefix_domain_id, demand.prompt_tokens)

    def remove(self, context_id: ProgramId) -> None:
        """Remove a context that has ended or come back."""
        self._moved_by_context.pop(context_id, None)

    def remove_domain(self, domain_id: DomainId) -> None:
        """Remove the contexts of a domain that cannot be reached."""
        for context_id, moved in tuple(self._moved_by_context.items()):
            if moved.domain_id == domain_id:
                del self._moved_by_context[context_id]
