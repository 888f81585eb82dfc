"""Grant the tokens of backend servers' limits, at the instances that own them.

The instances agree on an owner by their view of the members. While views
differ there may be two, and an instance that reaches none gets tokens of a
member's own small part.
"""

from dataclasses import dataclass

from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.delayed_tokens import DelayedTokens
from jackdawfield.messages.fleet_limits import AskServerToken
from jackdawfield.messages.fleet_limits import ServerTokenAnswer
from jackdawfield.model import ServerId

# Tokens that an unused limit saves up: seconds of its rate, but some at least.
BURST_S = 1.0
MIN_BURST = 2
# Share of a limit that the members together grant to instances that do not
# reach its owner.
FALLBACK_SHARE = 0.5
# A bucket that nobody has asked for this long is forgotten.
KEPT_S = 30.0


@dataclass(frozen=True, slots=True)
class _Key:
    """Identifies a bucket: that of a server's owner, or a member's part."""

    server_id: ServerId
    started_ms: int
    is_fallback: bool


@dataclass(slots=True)
class _OwnedBucket:
    bucket: DelayedTokens
    asked_at_s: float


class LimitBuckets:
    """Holds the buckets of the servers whose tokens are asked for here."""

    def __init__(self) -> None:
        self._owned_by_key: dict[_Key, _OwnedBucket] = {}

    def __len__(self) -> int:
        return len(self._owned_by_key)

    def grant(
        self, ask: AskServerToken, seats: int, now_s: float
    ) -> ServerTokenAnswer:
        """Grant a token if there is one within the requested delay."""
        key = _Key(ask.server_id, ask.started_ms, ask.is_fallback)
        per_s = ask.per_s
        if ask.is_fallback:
            per_s *= FALLBACK_SHARE / max(1, seats)
        burst = max(MIN_BURST, round(per_s * BURST_S))
        contract = Contract(per_s, burst)
        owned = self._owned_by_key.get(key)
        if owned is None:
            self._forget_unused(now_s)
            owned = _OwnedBucket(DelayedTokens(contract, 0.0, now_s), now_s)
            self._owned_by_key[key] = owned
        owned.asked_at_s = now_s
        owned.bucket.change_contract(contract, now_s)
        delays = owned.bucket.take(1, ask.max_delay_s, now_s)
        if delays:
            return ServerTokenAnswer(True, delays[0])
        return ServerTokenAnswer(False, owned.bucket.wait_s(1.0))

    def _forget_unused(self, now_s: float) -> None:
        self._owned_by_key = {
            key: owned
            for key, owned in self._owned_by_key.items()
            if now_s - owned.asked_at_s < KEPT_S
        }
