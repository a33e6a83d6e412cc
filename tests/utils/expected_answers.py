"""Deterministic answers of the stand-in runners, for callers to verify.

An answer depends only on its prompt or body. So an answer that was cut, mixed
with another or meant for another caller differs from the expected one.
"""

import hashlib
import json
from typing import Final

from xxhash import xxh64

BYTES_PER_TOKEN: Final = 4
BLOCK_TOKENS: Final = 64
BLOCK_BYTES: Final = BYTES_PER_TOKEN * BLOCK_TOKENS
HASH_LENGTH: Final = 16
WORD_LENGTH: Final = 6


def content_hash(body: bytes) -> str:
    """Return the hash of a prompt or body that runners record."""
    return hashlib.sha256(body).hexdigest()[:HASH_LENGTH]


def prompt_tokens(prompt: str) -> int:
    """Count tokens as the stand-in engines do, at four bytes per token."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def prefix_hashes(prompt: str) -> list[str]:
    """Return a hash for each complete block, over the prompt up to its end."""
    encoded = prompt.encode()
    digest = xxh64()
    hashes = []
    for start in range(0, len(encoded) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(encoded[start : start + BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return hashes


def token_text(prompt_hash: str, index: int) -> str:
    """Return the token at `index` of the answer to a prompt."""
    digest = hashlib.sha256(f'{prompt_hash}/{index}'.encode()).hexdigest()
    return f'{digest[:WORD_LENGTH]} '


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer of an engine."""
    prompt_hash = content_hash(prompt.encode())
    return ''.join(token_text(prompt_hash, i) for i in range(max_tokens))


def expected_body(body: bytes) -> bytes:
    """Return the complete answer of a plain service."""
    return json.dumps({'confirmed': content_hash(body)}).encode()
