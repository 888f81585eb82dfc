"""Look at sockets without reading from them."""

from select import poll
from select import POLLIN


def has_unread_input(file_number: int) -> bool:
    """Return whether bytes or a close wait in a socket, unread.

    An event loop reports them in its next turn only.
    """
    poller = poll()
    poller.register(file_number, POLLIN)
    return bool(poller.poll(0))
