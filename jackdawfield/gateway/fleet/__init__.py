"""Track the members of the fleet and what each of them owns."""
