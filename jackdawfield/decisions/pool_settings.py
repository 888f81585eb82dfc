"""Define the settings of a pool's scheduler."""

from dataclasses import dataclass
from dataclasses import field

from jackdawfield.decisions.early_refusal import RefusalSettings
from jackdawfield.decisions.finish_queue import FinishOrder
from jackdawfield.decisions.queueing import QueueSettings
from jackdawfield.decisions.routing import RoutingSettings
from jackdawfield.decisions.slot_placement import PlacementSettings
from jackdawfield.decisions.slot_shares import ShareSettings
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.decisions.windows import INITIAL_PREFILL_TOKEN_S
from jackdawfield.decisions.windows import SLOW_RATIO

PREFILL_WEIGHT = 0.05
INITIAL_CALL_S = 3.0


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Sets how a pool orders, limits and routes requests.

    `prefill_weight` is the cost of a prefilled token relative to a generated
    one. `waiting_per_slot` limits the queue, per slot of the pool. Requests
    and grants expire if their home has not renewed them for `home_ttl_s`.
    A dispatch ends after `scan_limit` queued requests that no server can
    take at once. With `refuse_early`, a request that is expected to wait
    past its deadline is refused at once. At most `spills_per_tick` queued
    requests are spilled to a faster domain per TimePassed event. The initial
    times hold until calls have been measured. A server is slow if its time
    per token is `slow_ratio` times that of the best one. With
    `recalls_stalled`, a stalled server is ejected and its calls are recalled;
    else it only gets no further calls.
    """

    queue: QueueSettings | FinishOrder = field(default_factory=QueueSettings)
    routing: RoutingSettings | PlacementSettings = field(
        default_factory=RoutingSettings
    )
    refusal: RefusalSettings = field(default_factory=RefusalSettings)
    shares: ShareSettings = field(default_factory=ShareSettings)
    spill: SpillSettings = field(default_factory=SpillSettings)
    prefill_weight: float = PREFILL_WEIGHT
    waiting_per_slot: float = 8.0
    home_ttl_s: float = 6.0
    scan_limit: int = 8
    refuse_early: bool = True
    spills_per_tick: int = 4
    initial_call_s: float = INITIAL_CALL_S
    initial_prefill_token_s: float = INITIAL_PREFILL_TOKEN_S
    slow_ratio: float = SLOW_RATIO
    recalls_stalled: bool = True
