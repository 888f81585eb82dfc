"""Cancel calls in flight whose keys are withdrawn."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from jackdawfield.errors import make_failure
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
    return make_failure(
        401, 'key_withdrawn', 'the key was withdrawn', execution
    )


@dataclass(slots=True)
class KeyWatch:
    """Holds whether a call's key is withdrawn, and its wait for an event."""

    is_withdrawn: bool = False
    wait_timeout: asyncio.Timeout | None = None

    def end(self) -> None:
        """Interrupt the wait for an event, or prevent the next such wait."""
        self.is_withdrawn = True
        if self.wait_timeout is not None:
            self.wait_timeout.reschedule(asyncio.get_running_loop().time())


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
            while not watch.is_withdrawn:
                try:
                    # KeyWatch.end sets the time of this timeout.
                    async with asyncio.timeout(None) as waiting:
                        watch.wait_timeout = waiting
                        event = await anext(events)
                except StopAsyncIteration:
                    return
                except TimeoutError:
                    if not watch.is_withdrawn:
                        raise
                    break
                finally:
                    watch.wait_timeout = None
                yield event
            yield key_withdrawn_failure(Execution.UNKNOWN)
        finally:
            watches.remove(watch)
            if not watches:
                self._watches_by_key_id.pop(key_id, None)
            await events.aclose()  # type: ignore[attr-defined]
