"""Grants and spends tokens of organisations' fleet-wide rates."""

from dataclasses import dataclass
import math

from jackdawfield.decisions.buckets import Bucket
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.buckets import DemandMeter
from jackdawfield.decisions.buckets import PARTS
from jackdawfield.gateway.model import Organisation
from jackdawfield.gateway.model import PromiseBounds
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import TokensGranted

# The longest that a request waits for a token, in place of a refusal: within
# a program, since a refused call ends it, and before one has begun.
CONTINUING_WAIT_S = 0.8
BEGINNING_WAIT_S = 0.1
# Spare tokens are given only above this share of the burst.
AMPLE_SHARE = 0.5
# Spare tokens cover this much of an instance's demand, and lapse after it.
STOCK_S = 1.0
# Share of the tolerated overshoot that instances may use without an owner.
UNASKED_SHARE = 0.8
RETRY_MOST_S = 2.0


def contract_of(organisation: Organisation) -> Contract:
    """Return the contract of an organisation."""
    burst = max(1, math.floor(organisation.burst or organisation.rate_per_s))
    return Contract(organisation.rate_per_s, burst)


class RateBucket:
    """Grants the tokens of one organisation, at its owner."""

    def __init__(
        self, contract: Contract, tokens: float, now_s: float
    ) -> None:
        self._bucket = Bucket(contract, PARTS, tokens, now_s)

    @property
    def tokens(self) -> float:
        """Return the tokens at the last refill."""
        return self._bucket.tokens

    def follow(self, contract: Contract, now_s: float) -> None:
        """Go on under the contract in force."""
        if contract != self._bucket.contract:
            self._bucket.change_contract(contract, now_s)

    def grant(self, ask: AskTokens, now_s: float) -> TokensGranted:
        """Grant what an instance asks for, as far as there are tokens."""
        bucket = self._bucket
        bucket.refill(now_s)
        burst = bucket.contract.burst
        continuing = self._take(ask.continuing, CONTINUING_WAIT_S)
        beginning = self._take(ask.beginning, BEGINNING_WAIT_S)
        spare = 0
        if bucket.tokens > AMPLE_SHARE * burst:
            ample = math.floor(bucket.tokens - AMPLE_SHARE * burst)
            spare = min(ask.spare, ample)
            bucket.tokens -= spare
        retry_s = 0.0
        if len(continuing) < ask.continuing:
            retry_s = self._wait_s(1.0)
        elif len(beginning) < ask.beginning:
            retry_s = self._wait_s(1.0)
        return TokensGranted(True, continuing, beginning, spare, retry_s)

    def _wait_s(self, tokens: float) -> float:
        missing = max(0.0, tokens - self._bucket.tokens)
        return min(RETRY_MOST_S, missing / self._bucket.rate_per_s)

    def _take(self, wanted: int, wait_s: float) -> tuple[float, ...]:
        """Take tokens, also those that flow in within the wait."""
        bucket = self._bucket
        delays = []
        for _ in range(wanted):
            missing = max(0.0, 1 - bucket.tokens)
            delay_s = missing / bucket.rate_per_s
            if delay_s > wait_s:
                break
            bucket.tokens -= 1
            delays.append(delay_s)
        return tuple(delays)


@dataclass(frozen=True, slots=True)
class Unasked:
    """Bounds what an instance admits while it reaches no owner."""

    capacity: float
    per_s: float


def unasked_rate(
    contract: Contract, bounds: PromiseBounds, instances: int
) -> Unasked:
    """Return an instance's part of the tolerated overshoot."""
    window_s = bounds.rate_window_s
    owed = contract.rate_per_s * window_s + contract.burst
    slack = bounds.rate_overshoot * owed + bounds.rate_slack
    part = UNASKED_SHARE * slack / max(1, instances)
    # A window admits the capacity and what flows in during it.
    capacity = min(1.0, part)
    return Unasked(capacity, (part - capacity) / window_s)


class RateStock:
    """Spends tokens that the owner granted to this instance."""

    def __init__(self, now_s: float) -> None:
        self._tokens = 0
        self._expires_at_s = 0.0
        self._unasked_tokens = 0.0
        self._unasked_at_s = now_s
        self.demand = DemandMeter(now_s)
        self.empty_until_s = 0.0
        self.begin_until_s = 0.0

    def take(self, now_s: float) -> bool:
        """Spend a token of the stock."""
        if self._tokens < 1 or now_s >= self._expires_at_s:
            return False
        self._tokens -= 1
        return True

    def put(self, tokens: int, now_s: float) -> None:
        """Add tokens to spare."""
        if now_s >= self._expires_at_s:
            self._tokens = 0
        self._tokens += tokens
        if tokens:
            self._expires_at_s = now_s + STOCK_S

    def spare_wanted(self, now_s: float) -> int:
        """Return how many tokens to spare are worth asking for."""
        wanted = math.floor(self.demand.per_s(now_s) * STOCK_S / 2)
        held = self._tokens if now_s < self._expires_at_s else 0
        return max(0, wanted - held)

    def take_unasked(self, unasked: Unasked, now_s: float) -> bool:
        """Spend from this instance's part of the tolerated overshoot."""
        elapsed_s = max(0.0, now_s - self._unasked_at_s)
        self._unasked_at_s = now_s
        self._unasked_tokens = min(
            unasked.capacity, self._unasked_tokens + elapsed_s * unasked.per_s
        )
        if self._unasked_tokens < 1 - 1e-9:
            return False
        self._unasked_tokens -= 1
        return True
