"""Grant and spend tokens of organisations' fleet-wide rates.

A token admits one request. The owner of a rate grants tokens to requests that
wait for one, and spare tokens that an instance holds for its next requests. A
beginning request starts a program, and a continuing one belongs to a program
in progress.
"""

from dataclasses import dataclass
import math

from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.buckets import DemandMeter
from jackdawfield.decisions.delayed_tokens import DelayedTokens
from jackdawfield.gateway.calls import BEGINNING_WAIT_S
from jackdawfield.gateway.calls import CONTINUING_WAIT_S
from jackdawfield.gateway.model import Organisation
from jackdawfield.gateway.model import PromisedLimits
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import TokensGranted

# Spare tokens are granted only while the bucket is above this share of the
# burst.
SPARE_MIN_SHARE = 0.5
# Spare tokens cover half of the demand in this time and expire after it.
SPARE_TTL_S = 1.0
# Share of the tolerated overshoot that the instances together may admit while
# they cannot reach the owner.
FALLBACK_SHARE = 0.8


def contract_from(organisation: Organisation) -> Contract:
    """Return an organisation's contract, with its default burst filled in."""
    burst = max(1, math.floor(organisation.burst or organisation.rate_per_s))
    return Contract(organisation.rate_per_s, burst)


class RateBucket:
    """Holds the tokens of one organisation, at the owner of its rate."""

    def __init__(
        self, contract: Contract, tokens: float, now_s: float
    ) -> None:
        self._delayed = DelayedTokens(contract, tokens, now_s)

    @property
    def tokens(self) -> float:
        """Return the number of tokens as of the last refill."""
        return self._delayed.tokens

    def change_contract(self, contract: Contract, now_s: float) -> None:
        """Apply a changed contract and limit the tokens to its burst."""
        self._delayed.change_contract(contract, now_s)

    def grant(self, ask: AskTokens, now_s: float) -> TokensGranted:
        """Grant an instance as many of the requested tokens as there are."""
        delayed = self._delayed
        bucket = delayed.bucket
        continuing = delayed.take(ask.continuing, CONTINUING_WAIT_S, now_s)
        beginning = delayed.take(ask.beginning, BEGINNING_WAIT_S, now_s)
        kept = SPARE_MIN_SHARE * bucket.contract.burst
        spare = 0
        if bucket.tokens > kept:
            spare = min(ask.spare, math.floor(bucket.tokens - kept))
            bucket.tokens -= spare
        are_refused = (
            len(continuing) < ask.continuing or len(beginning) < ask.beginning
        )
        retry_s = delayed.wait_s(1.0) if are_refused else 0.0
        return TokensGranted(True, continuing, beginning, spare, retry_s)


@dataclass(frozen=True, slots=True)
class FallbackRate:
    """Limits what one member admits for requests that reach no owner."""

    capacity: float
    refill_per_s: float


def fallback_rate(
    contract: Contract, bounds: PromisedLimits, seats: int
) -> FallbackRate:
    """Return a seat's share of the tolerated overshoot as a rate."""
    window_s = bounds.rate_window_s
    allowed = contract.rate_per_s * window_s + contract.burst
    overshoot = bounds.rate_overshoot * allowed + bounds.rate_slack
    tokens_per_window = FALLBACK_SHARE * overshoot / max(1, seats)
    # A window admits the capacity and the refill during the window.
    capacity = min(1.0, tokens_per_window)
    return FallbackRate(capacity, (tokens_per_window - capacity) / window_s)


class FallbackTokens:
    """Holds an organisation's fallback tokens at one member."""

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._refilled_at_s = now_s

    def take(self, count: int, rate: FallbackRate, now_s: float) -> int:
        """Spend up to count tokens; return how many."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._tokens = min(
            rate.capacity, self._tokens + elapsed_s * rate.refill_per_s
        )
        # Tolerates rounding errors of the refill.
        taken = min(count, math.floor(self._tokens + 1e-9))
        self._tokens -= taken
        return taken


@dataclass(slots=True)
class _SpareTokens:
    """Holds spare tokens that expire together."""

    count: int
    expires_at_s: float


class LocalTokens:
    """Holds an organisation's spare tokens at one instance.

    Each token expires SPARE_TTL_S after it was granted, whatever is added
    later: all instances together hold no more than the owner granted in that
    time.
    """

    def __init__(self, now_s: float) -> None:
        # The first to expire come first.
        self._spare: list[_SpareTokens] = []
        self.demand = DemandMeter(now_s)
        self.continuing_refused_until_s = 0.0
        self.beginning_refused_until_s = 0.0

    def take_spare(self, now_s: float) -> bool:
        """Spend a spare token; False if there is none."""
        self._drop_expired(now_s)
        if not self._spare:
            return False
        first = self._spare[0]
        first.count -= 1
        if not first.count:
            self._spare.pop(0)
        return True

    def add_spare(
        self, tokens: int, granted_at_s: float, now_s: float
    ) -> None:
        """Add spare tokens that were granted at a time, unless expired."""
        self._drop_expired(now_s)
        expires_at_s = granted_at_s + SPARE_TTL_S
        if tokens < 1 or expires_at_s <= now_s:
            return
        self._spare.append(_SpareTokens(tokens, expires_at_s))
        self._spare.sort(key=lambda spare: spare.expires_at_s)

    def _drop_expired(self, now_s: float) -> None:
        while self._spare and self._spare[0].expires_at_s <= now_s:
            self._spare.pop(0)

    def spare_to_request(self, now_s: float) -> int:
        """Return how many spare tokens to request for the expected demand."""
        expected = math.floor(
            self.demand.arrivals_per_s(now_s) * SPARE_TTL_S / 2
        )
        self._drop_expired(now_s)
        available = sum(spare.count for spare in self._spare)
        return max(0, expected - available)
