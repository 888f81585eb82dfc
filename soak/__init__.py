"""Runs the gateway's processes under seeded faults and checks promises."""
