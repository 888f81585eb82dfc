"""Translates between the users' platform and the gateway's types."""
