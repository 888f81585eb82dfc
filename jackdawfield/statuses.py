"""Tell which numbers are statuses of HTTP."""

FIRST_FINAL = 200
LAST_FINAL = 599


def is_final_status(status: int) -> bool:
    """Return whether a number is the status of a final response."""
    return FIRST_FINAL <= status <= LAST_FINAL
