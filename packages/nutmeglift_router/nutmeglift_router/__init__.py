"""The router, which runs on the entry VMs, and the operators' command line."""
