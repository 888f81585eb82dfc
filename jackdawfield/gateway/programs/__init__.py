"""Keep the turns and token budgets of programs."""
