"""Admission of long prompts to replicas, so that short ones meet their targets."""
