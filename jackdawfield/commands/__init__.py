"""Implement the commands of the operators' tool, one group per module."""
