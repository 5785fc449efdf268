"""The agent's copy of its part of the configuration."""

from nutmeglift import control_messages
from nutmeglift import ids


class ConfigurationCopy:
    """Holds the newest part received from any router.

    Attributes:
        current: the part in force, or None.
        highest_known: highest generation that any router reported.
    """

    def __init__(self) -> None:
        self.current: control_messages.AgentConfiguration | None = None
        self.highest_known = ids.Generation(0)

    @property
    def generation(self) -> ids.Generation:
        """Generation in force on this agent; 0 for none."""
        if self.current is None:
            return ids.Generation(0)
        return self.current.generation

    def update(self, new: control_messages.AgentConfiguration) -> bool:
        """Applies a configuration; returns whether it changed anything.

        An older generation is ignored. Within one generation the last message
        wins: a router sends it again after learning of a later history.
        """
        self.observe_generation(new.generation)
        if new.generation < self.generation or new == self.current:
            return False
        self.current = new
        return True

    def observe_generation(self, generation: ids.Generation) -> None:
        """Records a generation that a router reported."""
        self.highest_known = max(self.highest_known, generation)
