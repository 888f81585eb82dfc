"""Cancel calls in flight whose keys are withdrawn."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from jackdawfield.errors import failure
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.model import Configuration
from jackdawfield.model import Execution
from jackdawfield.model import KeyId


def is_key_valid(configuration: Configuration, key_id: str) -> bool:
    """Return whether a key is not withdrawn and has an organisation."""
    record = configuration.keys_by_id.get(KeyId(key_id))
    if record is None or record.withdrawn:
        return False
    return record.organisation_id in configuration.organisations_by_id


def key_withdrawn_failure(execution: Execution) -> CallFailed:
    """Return the error of a call whose key was withdrawn."""
    return failure(401, 'key_withdrawn', 'the key was withdrawn', execution)


@dataclass(slots=True)
class KeyWatch:
    """Holds whether a call's key is withdrawn, to interrupt its wait."""

    withdrawn: bool = False
    waiting: asyncio.Timeout | None = None

    def end(self) -> None:
        """Interrupt the call's wait, or end the call before its next one."""
        self.withdrawn = True
        if self.waiting is not None:
            self.waiting.reschedule(asyncio.get_running_loop().time())


class WithdrawalWatcher:
    """Holds the watches of calls in flight, by key."""

    def __init__(self) -> None:
        self._watches_by_key_id: dict[str, list[KeyWatch]] = {}

    def on_configuration(
        self, before: Configuration, after: Configuration
    ) -> None:
        """Cancel the calls whose keys are no longer valid."""
        for key_id in list(self._watches_by_key_id):
            if is_key_valid(after, key_id):
                continue
            for watch in self._watches_by_key_id[key_id]:
                watch.end()

    async def until_withdrawn(
        self, key_id: str, events: AsyncIterator[CallEvent]
    ) -> AsyncIterator[CallEvent]:
        """Yield a call's events, or an error once its key is withdrawn."""
        watch = KeyWatch()
        watches = self._watches_by_key_id.setdefault(key_id, [])
        watches.append(watch)
        try:
            while not watch.withdrawn:
                try:
                    async with asyncio.timeout(None) as waiting:
                        watch.waiting = waiting
                        event = await anext(events)
                except StopAsyncIteration:
                    return
                except TimeoutError:
                    if not watch.withdrawn:
                        raise
                    break
                finally:
                    watch.waiting = None
                yield event
            yield key_withdrawn_failure(Execution.UNKNOWN)
        finally:
            watches.remove(watch)
            if not watches:
                self._watches_by_key_id.pop(key_id, None)
            await events.aclose()  # type: ignore[attr-defined]
