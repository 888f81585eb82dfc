"""Measure the decision modules and fail on a missed bound."""
