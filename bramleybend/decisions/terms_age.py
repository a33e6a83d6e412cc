"""How old the word is that a VM's terms are still in force.

Load pattern: none; this is for a network that has parted, or a log that is
down. A VM that can't read the log hears from peers that they hold the same
terms. If the log is down for all, nothing can be published, and serving on is
right. If the VM stands on the small side of a parted network, new terms may
be published on the other one, and serving on breaks the promise that they are
in force everywhere within seconds.

The two look alike but for one thing: how many of the known VMs still answer.
So peers' word counts only while more than half of them do. Two halves of
equal size both stop, until one reads the log; a log outage that meets the loss
of half the VMs stops the rest, too. Both are safe, and rarer than either
failure alone.
"""


def terms_age_s(
    log_age_s: float,
    peer_age_s: float,
    alive: int,
    known: int,
) -> float:
    """Return the age of the last word that may be relied on, in seconds."""
    if 2 * alive > known:
        return min(log_age_s, peer_age_s)
    return log_age_s
