"""Learn how long servers keep idle connections if they do not say it."""

from collections.abc import Hashable

from jackdawfield.gateway.http.messages import DEFAULT_IDLE_S
from jackdawfield.gateway.http.messages import IDLE_MARGIN_S

# Longest time for which a connection is kept idle, until its server is seen
# to close one earlier.
LONGEST_IDLE_S = 30.0


class IdleLimits:
    """Holds the time for which connections may stay idle, by address.

    A connection whose server closes it as a request arrives leaves open
    whether the request ran, so it is given up before.
    """

    def __init__(self, longest_s: float) -> None:
        self._longest_s = longest_s
        self._limits_s_by_address: dict[Hashable, float] = {}

    def limit_s(self, address: Hashable) -> float:
        """Return how long a connection to an address may stay idle."""
        return self._limits_s_by_address.get(address, self._longest_s)

    def record_closed(self, address: Hashable, idle_s: float) -> None:
        """Record that a server has closed a connection after an idle time."""
        limit_s = max(DEFAULT_IDLE_S, idle_s - IDLE_MARGIN_S)
        if limit_s < self.limit_s(address):
            self._limits_s_by_address[address] = limit_s
