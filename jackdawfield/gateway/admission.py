"""Counts requests against their organisations' rates."""

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal


class Admission:
    """Admits requests within their organisations' rates."""

    async def admit(self, call: Call) -> Refusal | None:
        """Count a request, or return its refusal."""
        return None
