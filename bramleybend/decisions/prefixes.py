"""Hashes of prompt prefixes, and the routing key that they give.

Prefix lengths double, so a prompt of 16,000 tokens has seven hashes, and two
prompts with a shared beginning have equal hashes up to at least half of it. A
token counts as `CHARS_PER_TOKEN` characters.
"""

from xxhash import xxh64_hexdigest

MIN_PREFIX_TOKENS = 256
CHARS_PER_TOKEN = 4
MAX_PREFIXES = 10
# The prefix of 1,024 tokens, beyond the system prompt and into the document.
ROUTING_PREFIX_INDEX = 2


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hashes of a prompt's prefixes, shortest first."""
    hashes = []
    for index in range(MAX_PREFIXES):
        end = prefix_tokens(index) * CHARS_PER_TOKEN
        if end > len(prompt):
            break
        hashes.append(xxh64_hexdigest(prompt[:end].encode()))
    return tuple(hashes)


def prefix_tokens(index: int) -> int:
    """Return the length in tokens of the prefix at an index."""
    return MIN_PREFIX_TOKENS << index


def routing_key(prefixes: tuple[str, ...], request_id: str) -> str:
    """Return the key that selects the shard: a prefix hash or the request ID."""
    if not prefixes:
        return request_id
    return prefixes[min(ROUTING_PREFIX_INDEX, len(prefixes) - 1)]
