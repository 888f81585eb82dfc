"""Convert between the platform's wire formats and the gateway's types."""
