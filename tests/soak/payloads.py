"""What the stand-ins for servers answer, and callers expect."""

EVENT_COUNT = 12
LARGE = "large"
"""Ends the path of a request for events that fill the socket buffers."""
LARGE_EVENT_BYTES = 512 * 1024
LONG = "long"
"""Ends the path of a request for a stream of 1.2 s."""
LONG_EVENT_COUNT = 40


def plain_body(request_id):
    return f"answer to {request_id}".encode()


def event_size(target):
    """Returns the number of filler bytes in the events of a stream."""
    return LARGE_EVENT_BYTES if target.endswith(f"/{LARGE}") else 0


def event_count(target):
    """Returns the number of events in a stream."""
    return LONG_EVENT_COUNT if target.endswith(f"/{LONG}") else EVENT_COUNT


def event(request_id, number, size):
    data = f"id: {number}\ndata: {request_id}:{number}"
    return (data + "x" * size + "\n\n").encode()
