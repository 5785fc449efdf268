"""A fault soak: real router processes, small stand-ins, faults by seed."""
