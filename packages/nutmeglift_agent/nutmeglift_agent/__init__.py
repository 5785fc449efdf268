"""The agent process that runs alongside each backend server."""
