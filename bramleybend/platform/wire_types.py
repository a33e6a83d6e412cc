"""Types of numbers in the platform's documents, with their ranges.

Whatever is taken from a document must fit into the messages between VMs and
into a float.
"""

from typing import Annotated, Final, TypeAlias

import msgspec

# The largest integer up to which a float holds all integers.
MAX_SAFE_INTEGER: Final = 9_007_199_254_740_991

Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
Amount: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
