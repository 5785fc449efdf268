"""The router on the entry VMs and the operators' command line."""
