"""End callers' connections at a planned stop, each after its answer."""

import asyncio
from collections.abc import Callable
import time

from jackdawfield.gateway.http.listener import HttpListener

# The load balancer checks the health once a second and removes an instance
# after two failed checks; new connections arrive until then.
LISTEN_AFTER_STOP_S = 3.0
# Time for a request to be read on a connection that was just accepted.
LAST_REQUEST_S = 0.1
CHECK_INTERVAL_S = 0.25
# Time for the handlers that are cancelled at the end to write an answer.
LAST_ANSWERS_S = 0.1


async def drain(
    listener: HttpListener,
    signalled_at_s: float,
    ends_at_s: float,
    refuse_calls_due_after: Callable[[float], None],
) -> None:
    """Listen for a while, then end each connection after its answer.

    Times are by the monotonic clock. From the time at which the listener
    stops listening, calls whose deadline is after the end are refused. What is
    unanswered at the end is cancelled and has LAST_ANSWERS_S to respond.
    """
    listen_until_s = signalled_at_s + LISTEN_AFTER_STOP_S
    await asyncio.sleep(max(0.0, listen_until_s - time.monotonic()))
    refuse_calls_due_after(ends_at_s)
    listener.stop_listening()
    # The last connections that were accepted carry a request already.
    await asyncio.sleep(LAST_REQUEST_S)
    listener.close_idle()
    while listener.is_busy and time.monotonic() < ends_at_s:
        await asyncio.sleep(CHECK_INTERVAL_S)
        listener.close_idle()
    if listener.is_busy:
        listener.cancel_requests()
        await asyncio.sleep(LAST_ANSWERS_S)
