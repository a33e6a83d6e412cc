"""Age of the last evidence that a VM's terms are still in force.

This is not for load but for network partitions and log outages. A VM that can't
read the log hears from peers that they hold the same terms. If the log is down
for all VMs, nothing can be published, and it is right to continue serving. If
the VM is in the smaller part of a partitioned network, new terms may be
published in the other part, and continuing to serve breaks the guarantee that
terms are in force everywhere within seconds.

The two cases differ only in how many of the known VMs still reply. So the
reports of peers count only while more than half of the VMs reply. Two halves of
equal size both stop until one of them reads the log; a log outage during which
half of the VMs are lost stops the rest, too. Both are safe, and rarer than
either failure alone.
"""


def terms_age_s(
    log_age_s: float,
    peer_age_s: float,
    alive: int,
    known: int,
) -> float:
    """Return the age of the last valid evidence, in seconds."""
    if 2 * alive > known:
        return min(log_age_s, peer_age_s)
    return log_age_s
