"""Count the tokens of a share of an organisation's contract.

A token here is the permit to admit one request, not a token of a model.
"""

from dataclasses import dataclass
import math

# The number of parts into which every contract is divided.
PARTS_PER_CONTRACT = 1_000_000_000
DEMAND_DECAY_S = 5.0


@dataclass(frozen=True, slots=True)
class Contract:
    """Holds an organisation's rate limit over the whole fleet, in tokens.

    It has no weight: that of the organisation in a pool is part of the
    configuration.
    """

    rate_per_s: float
    burst: int


class Bucket:
    """Refills and spends the tokens of a share of a contract.

    The share is `parts` out of PARTS_PER_CONTRACT.
    """

    __slots__ = ('contract', 'parts', 'refilled_at_s', 'tokens')

    def __init__(
        self, contract: Contract, parts: int, tokens: float, now_s: float
    ) -> None:
        self.contract = contract
        self.parts = parts
        self.tokens = tokens
        self.refilled_at_s = now_s

    @property
    def capacity(self) -> float:
        """Return the most tokens that the share can hold."""
        return self.contract.burst * self.parts / PARTS_PER_CONTRACT

    @property
    def rate_per_s(self) -> float:
        """Return the refill rate of the share in tokens per second."""
        return self.contract.rate_per_s * self.parts / PARTS_PER_CONTRACT

    def refill(self, now_s: float) -> None:
        """Add the tokens accrued since the last refill, up to the capacity."""
        elapsed_s = now_s - self.refilled_at_s
        if elapsed_s <= 0:
            return
        self.refilled_at_s = now_s
        self.tokens += elapsed_s * self.rate_per_s
        self._cap_tokens()

    def take(self, now_s: float) -> bool:
        """Spend one token and return whether one was available."""
        self.refill(now_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_s(self, tokens: float) -> float:
        """Return the time until the tokens are there, infinite if never."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        if self.rate_per_s <= 0 or tokens > self.capacity:
            return math.inf
        return missing / self.rate_per_s

    def change_contract(self, contract: Contract, now_s: float) -> None:
        """Switch to another contract; a larger burst adds no tokens."""
        self.refill(now_s)
        self.contract = contract
        self._cap_tokens()

    def parts_for(self, tokens: float) -> int:
        """Return the fewest parts whose capacity fits the tokens."""
        if self.contract.burst <= 0:
            return 0
        return math.ceil(tokens * PARTS_PER_CONTRACT / self.contract.burst)

    def remove(self, parts: int, tokens: float, now_s: float) -> None:
        """Remove parts and tokens; raise ValueError if fewer are held."""
        self.refill(now_s)
        if not 0 <= parts <= self.parts or not 0 <= tokens <= self.tokens:
            raise ValueError(
                'cannot take away more parts or tokens than are held'
            )
        self.parts -= parts
        self.tokens -= tokens
        self._cap_tokens()

    def add(self, parts: int, tokens: float, now_s: float) -> None:
        """Add parts and tokens that another holder removed from its bucket."""
        self.refill(now_s)
        self.parts += parts
        self.tokens += tokens
        self._cap_tokens()

    def _cap_tokens(self) -> None:
        self.tokens = min(self.tokens, self.capacity)


class DemandMeter:
    """Estimates the arrival rate of requests with exponential decay."""

    __slots__ = ('_rate_per_s', '_updated_at_s', 'last_arrival_at_s')

    def __init__(self, now_s: float) -> None:
        self._rate_per_s = 0.0
        self._updated_at_s = now_s
        self.last_arrival_at_s = now_s

    def record_arrival(self, now_s: float) -> None:
        """Record one arrival."""
        self._rate_per_s = self.arrivals_per_s(now_s) + 1 / DEMAND_DECAY_S
        self._updated_at_s = now_s
        self.last_arrival_at_s = now_s

    def arrivals_per_s(self, now_s: float) -> float:
        """Return the estimated arrivals per second."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        return self._rate_per_s * math.exp(-elapsed_s / DEMAND_DECAY_S)
