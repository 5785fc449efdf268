"""The part of the configuration that an agent works by."""

from nutmeglift import control_messages
from nutmeglift import ids


class ConfigurationCopy:
    """Keeps the newest part that any router sent.

    Attributes:
        current: the part in force, or None.
        highest_known: highest generation that any router showed.
    """

    def __init__(self) -> None:
        self.current: control_messages.AgentConfiguration | None = None
        self.highest_known = ids.Generation(0)

    @property
    def generation(self) -> ids.Generation:
        """Generation in force here; 0 for none."""
        if self.current is None:
            return ids.Generation(0)
        return self.current.generation

    def take(self, new: control_messages.AgentConfiguration) -> bool:
        """Takes what a router sent; returns whether it is in force now.

        An older generation changes nothing. Of one generation, the last word
        counts: a router sends it again when it learnt of a later history.
        """
        self.note(new.generation)
        if new.generation < self.generation or new == self.current:
            return False
        self.current = new
        return True

    def note(self, generation: ids.Generation) -> None:
        """Takes the generation that a router shows."""
        self.highest_known = max(self.highest_known, generation)
