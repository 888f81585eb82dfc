"""Decide which backend servers this instance reaches itself.

An instance can lose its paths to some or all servers while other instances
reach them. Only that is told here: a server that has ended, is full or is
silent for a moment is no lost path, as other servers are still heard.
"""

from collections.abc import Iterable
from enum import Enum

Address = tuple[str, int]
# A server that takes no connection within this time is silent.
CONNECT_TIMEOUT_S = 0.4
# As many servers that take no connection, with nothing heard from any server
# since the first of them was asked, are a cut of this instance.
MIN_SILENT_SERVERS = 2
# Without a byte from any server for this long, a call that waits for its
# response has its server asked for a connection.
SILENCE_S = 0.3
NEVER_S = float('-inf')


class Path(Enum):
    """Names the way to a server."""

    DIRECT = 'direct'
    # New connections are refused, those that are open carry requests.
    KEPT = 'kept connections, else a peer'
    PEER = 'peer'


class Reachability:
    """Holds what this instance knows of its own paths to the servers."""

    def __init__(self) -> None:
        # Since when nothing is heard from any server; None unless cut.
        self.cut_since_s: float | None = None
        self._heard_at_s = NEVER_S
        # When the servers that took no connection in time were asked.
        self._asked_at_s_by_address: dict[Address, float] = {}
        # Lost paths to servers that a peer has reached.
        self._lost_paths_by_address: dict[Address, Path] = {}
        self._tried_at_s_by_address: dict[Address, float] = {}

    def record_heard(self, address: Address, now_s: float) -> bool:
        """Record bytes of a server; return whether they end a cut."""
        self._heard_at_s = now_s
        self._asked_at_s_by_address.pop(address, None)
        if self._lost_paths_by_address.get(address) is Path.PEER:
            del self._lost_paths_by_address[address]
        if self.cut_since_s is None:
            return False
        self.cut_since_s = None
        self._asked_at_s_by_address.clear()
        self._lost_paths_by_address = {
            other: path
            for other, path in self._lost_paths_by_address.items()
            if path is Path.KEPT
        }
        return True

    def record_connected(self, address: Address, now_s: float) -> bool:
        """Record a new connection; return whether it ends a cut."""
        self._lost_paths_by_address.pop(address, None)
        return self.record_heard(address, now_s)

    def record_silent(
        self, address: Address, asked_at_s: float, now_s: float
    ) -> bool:
        """Record a connection that was not taken in time.

        Return whether this instance counts as cut from now on.
        """
        self._asked_at_s_by_address[address] = asked_at_s
        if self.cut_since_s is not None:
            return False
        silent = [
            at_s
            for at_s in self._asked_at_s_by_address.values()
            if at_s > self._heard_at_s
        ]
        if len(silent) < MIN_SILENT_SERVERS:
            return False
        self.cut_since_s = now_s
        return True

    def record_reached_by_peer(
        self, address: Address, is_refused_here: bool
    ) -> None:
        """Record that a peer reaches a server that this instance does not."""
        path = Path.KEPT if is_refused_here else Path.PEER
        self._lost_paths_by_address[address] = path

    def path(self, address: Address) -> Path:
        """Return the way to a server."""
        if self.cut_since_s is not None:
            return Path.PEER
        return self._lost_paths_by_address.get(address, Path.DIRECT)

    @property
    def lost_path_count(self) -> int:
        """Return to how many servers only peers have a path, cuts aside."""
        return len(self._lost_paths_by_address)

    def is_silent(self, now_s: float) -> bool:
        """Return whether nothing was heard from any server for a while."""
        return now_s - self._heard_at_s >= SILENCE_S

    def next_trial(
        self, listed: Iterable[Address], now_s: float
    ) -> Address | None:
        """Return the server to try directly next; forget unlisted ones."""
        known = set(listed)
        for lost in self._lost_paths_by_address.keys() - known:
            del self._lost_paths_by_address[lost]
        for asked in self._asked_at_s_by_address.keys() - known:
            del self._asked_at_s_by_address[asked]
        candidates = known
        if self.cut_since_s is None:
            candidates = known & self._lost_paths_by_address.keys()
        if not candidates:
            self._tried_at_s_by_address.clear()
            return None
        address = min(
            candidates,
            key=lambda a: (self._tried_at_s_by_address.get(a, NEVER_S), a),
        )
        self._tried_at_s_by_address[address] = now_s
        return address
