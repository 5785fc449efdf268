"""Sockets, platform clients, logs and metrics of nutmeglift's processes."""
