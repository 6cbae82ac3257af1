"""Replicas that are lost: found by probes, and reported to the other routers."""
