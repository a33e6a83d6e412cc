"""What a runner answers, so that a caller can tell its own whole answer.

Tokens follow from the prompt alone: an answer that was cut, mixed with
another or meant for another caller differs from the expected one.
"""

import hashlib
import json
from typing import Final

from xxhash import xxh64

BYTES_A_TOKEN: Final = 4
BLOCK_TOKENS: Final = 64
BLOCK_BYTES: Final = BYTES_A_TOKEN * BLOCK_TOKENS
HASH_LENGTH: Final = 16
WORD_LENGTH: Final = 6


def content_hash(body: bytes) -> str:
    """Identify a prompt or a body in a runner's record."""
    return hashlib.sha256(body).hexdigest()[:HASH_LENGTH]


def prompt_tokens(prompt: str) -> int:
    """Count tokens as the engines do: four bytes each."""
    return max(1, len(prompt.encode()) // BYTES_A_TOKEN)


def prefix_hashes(prompt: str) -> list[str]:
    """Name each whole block of the prompt together with all before it."""
    encoded = prompt.encode()
    digest = xxh64()
    hashes = []
    for start in range(0, len(encoded) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(encoded[start : start + BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return hashes


def token_text(prompt_hash: str, index: int) -> str:
    """Return one token of the answer to the prompt of this hash."""
    word = hashlib.sha256(f'{prompt_hash}/{index}'.encode()).hexdigest()
    return f'{word[:WORD_LENGTH]} '


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer of an engine."""
    prompt_hash = content_hash(prompt.encode())
    return ''.join(token_text(prompt_hash, i) for i in range(max_tokens))


def expected_body(body: bytes) -> bytes:
    """Return the whole answer of a plain service."""
    return json.dumps({'confirmed': content_hash(body)}).encode()
