"""Report on where a call would go now, and why, without sending it."""
