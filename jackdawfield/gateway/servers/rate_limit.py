"""Hold the limit that a backend server names in its answers."""

from dataclasses import dataclass

# Below it, so few requests would be sent that the end of a limit, which only
# an answer tells, would stay unknown for long.
MIN_PER_S = 0.2
# A limit that no answer has named for this long has ended.
VALID_S = 10.0


@dataclass(slots=True)
class RateLimit:
    """Holds a server's limit on the requests of all instances together.

    Times are by the monotonic clock.
    """

    per_s: float | None = None
    named_at_s: float = float('-inf')
    # The server's tokens are used up until then.
    no_token_until_s: float = float('-inf')

    def current(self, now_s: float) -> float | None:
        """Return the limit in requests per second, None without one."""
        if now_s - self.named_at_s > VALID_S:
            self.per_s = None
        return self.per_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until there may be a token again."""
        if self.current(now_s) is None:
            return 0.0
        return max(0.0, self.no_token_until_s - now_s)

    def record_named(self, per_s: float, named_at_s: float) -> bool:
        """Take a limit over unless a newer one is known.

        Return whether the limit is another one than before.
        """
        if named_at_s < self.named_at_s:
            return False
        per_s = max(MIN_PER_S, per_s)
        has_changed = self.current(named_at_s) != per_s
        self.per_s = per_s
        self.named_at_s = named_at_s
        return has_changed

    def record_unnamed(self, sent_at_s: float) -> bool:
        """End the limit after an answer without one; return whether it did.

        The answer to a request that was sent before the limit was named
        may have begun before it.
        """
        if self.per_s is None or sent_at_s <= self.named_at_s:
            return False
        self.per_s = None
        return True
