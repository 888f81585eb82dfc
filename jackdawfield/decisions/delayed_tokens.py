"""Grant tokens that are there now, or will be within a delay."""

from jackdawfield.decisions.buckets import Bucket
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.buckets import PARTS_PER_CONTRACT

# Limit of the time after which a refused request may be retried.
MAX_RETRY_S = 2.0


class DelayedTokens:
    """Holds the whole of a contract's tokens, which may be taken ahead."""

    def __init__(
        self, contract: Contract, tokens: float, now_s: float
    ) -> None:
        self.bucket = Bucket(contract, PARTS_PER_CONTRACT, tokens, now_s)

    @property
    def tokens(self) -> float:
        """Return the number of tokens as of the last refill."""
        return self.bucket.tokens

    def change_contract(self, contract: Contract, now_s: float) -> None:
        """Apply a changed contract and limit the tokens to its burst."""
        if contract != self.bucket.contract:
            self.bucket.change_contract(contract, now_s)

    def wait_s(self, tokens: float) -> float:
        """Return the time until there are tokens, at most MAX_RETRY_S."""
        missing = max(0.0, tokens - self.bucket.tokens)
        return min(MAX_RETRY_S, missing / self.bucket.rate_per_s)

    def take(
        self, count: int, max_delay_s: float, now_s: float
    ) -> tuple[float, ...]:
        """Take up to count tokens that are available within the delay.

        Return the delay of each token taken.
        """
        bucket = self.bucket
        bucket.refill(now_s)
        delays = []
        for _ in range(count):
            missing = max(0.0, 1 - bucket.tokens)
            delay_s = missing / bucket.rate_per_s
            if delay_s > max_delay_s:
                break
            bucket.tokens -= 1
            delays.append(delay_s)
        return tuple(delays)
