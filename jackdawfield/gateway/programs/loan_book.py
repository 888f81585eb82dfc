"""Remember which programs were lent tokens beyond their budgets."""

from collections.abc import Iterable

from jackdawfield.messages.fleet_loans import Loan

# Loans are remembered for this many programs, the oldest forgotten.
PROGRAMS_KEPT = 20_000


class LoanBook:
    """Holds the tokens lent to each program, by the requests they are for."""

    def __init__(self) -> None:
        # The programs whose loans changed least recently first.
        self._tokens_by_request: dict[str, dict[str, int]] = {}

    def lent_to(self, program: str) -> int:
        """Return the tokens lent to a program and not given back."""
        return sum(self._tokens_by_request.get(program, {}).values())

    def lent_for(self, program: str, request_id: str) -> int:
        """Return the tokens lent for one request and not given back."""
        return self._tokens_by_request.get(program, {}).get(request_id, 0)

    def reduced(self, program: str, request_id: str, tokens: int) -> Loan:
        """Return a loan without tokens that are given back."""
        lent = self.lent_for(program, request_id)
        return Loan(program, request_id, max(0, lent - tokens))

    def loans(self) -> tuple[Loan, ...]:
        """Return the loans that were not given back."""
        return tuple(
            Loan(program, request_id, tokens)
            for program, by_request in self._tokens_by_request.items()
            for request_id, tokens in by_request.items()
        )

    def note(self, loan: Loan) -> None:
        """Replace what is known of a loan."""
        by_request = self._tokens_by_request.pop(loan.program, {})
        by_request.pop(loan.request_id, None)
        if loan.tokens > 0:
            by_request[loan.request_id] = loan.tokens
        if by_request:
            self._tokens_by_request[loan.program] = by_request
        while len(self._tokens_by_request) > PROGRAMS_KEPT:
            del self._tokens_by_request[next(iter(self._tokens_by_request))]

    def add_unknown(self, loans: Iterable[Loan]) -> None:
        """Add the loans that are not known yet."""
        for loan in loans:
            if not self.lent_for(loan.program, loan.request_id):
                self.note(loan)
