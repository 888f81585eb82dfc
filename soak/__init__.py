"""Run gateway processes under seeded faults and check their guarantees."""
