"""Quotas of workspaces over all routers together."""

__all__: list[str] = []
