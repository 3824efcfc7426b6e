"""Messages between instances about the age of the configuration."""

from dataclasses import dataclass

from carawayvale.links.messages import register_message

# Age in the reports of an instance that knows of no reading.
NO_AGE = -1


# Milliseconds as integers take about half the bytes of floating point
# numbers. An age is rounded up.
@register_message(20)
@dataclass(frozen=True)
class AgeReport:
    """Age of the sender's configuration.

    :param revision: packed position up to which the reading has all
        changes.
    :param age_ms: time since the reading began; NO_AGE without one.
    :param sent_ms: boot clock of the sender at the sending.
    :param echo_ms: ``sent_ms`` of the latest report that the sender
        received on this link; 0 if it received none.
    :param held_ms: time between the receipt of that report and the sending
        of this one.
    """

    revision: int
    age_ms: int
    sent_ms: int
    echo_ms: int
    held_ms: int
