"""Which prompt prefixes are named by a hash.

Lengths double, so that a prompt of 16,000 tokens has seven hashes and two
prompts with a shared beginning have equal hashes up to at least half of it.
A token counts as `CHARS` characters.
"""

from xxhash import xxh64_hexdigest

MIN_PREFIX_TOKENS = 256
CHARS_PER_TOKEN = 4
MAX_PREFIXES = 10
ROUTING_PREFIX_INDEX = (
    2  # 1,024 tokens: past the system prompt, into the document
)


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hashes of the growing prefixes of a prompt."""
    hashes = []
    for index in range(MAX_PREFIXES):
        end = prefix_tokens(index) * CHARS_PER_TOKEN
        if end > len(prompt):
            break
        hashes.append(xxh64_hexdigest(prompt[:end].encode()))
    return tuple(hashes)


def prefix_tokens(index: int) -> int:
    """Return how many tokens the prefix at an index has."""
    return MIN_PREFIX_TOKENS << index


def routing_key(prefixes: tuple[str, ...], request_id: str) -> str:
    """Return what decides on the shard: a prefix, if there is one."""
    if not prefixes:
        return request_id
    return prefixes[min(ROUTING_PREFIX_INDEX, len(prefixes) - 1)]
