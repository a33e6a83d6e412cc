"""What a request is expected to cost, and the ask made of it."""

import json
from collections.abc import Sequence
from typing import Final

from bramleybend.decisions.prefixes import prefix_hashes
from bramleybend.gateway.run import CallerRequest
from bramleybend.models import Ask, Profile, ServiceKind
from bramleybend.wire.bramleybend_pb2 import AskMessage

CHARS_PER_TOKEN: Final = 4
# A decoded token takes an engine's step for itself, a prompt token shares
# one with its whole batch; the ratio is the stand-in engines' and only ranks
# long work against short.
DECODE_WEIGHT: Final = 8
DEFAULT_MAX_TOKENS: Final = 128


def make_ask(req: CallerRequest, profile: Profile, kind: ServiceKind) -> Ask:
    """Estimate from the body what an owner needs to decide."""
    if kind is ServiceKind.ENGINE:
        prompt, max_tokens = _parse_prompt(req.body)
    else:
        # A plain call decodes no tokens. Taken for a completion of default
        # length, short calls would seem to fill their service and be shed.
        prompt, max_tokens = req.body.decode(errors='replace'), 0
    prompt_tokens = max(len(prompt) // CHARS_PER_TOKEN, 1)
    return Ask(
        request_id=req.request_id,
        service=req.service,
        tier=profile.tier,
        workspace=req.workspace,
        cost=float(prompt_tokens + DECODE_WEIGHT * max_tokens),
        prompt_tokens=prompt_tokens,
        prefixes=prefix_hashes(prompt),
        deadline=req.deadline,
        cancellable=profile.cancellable,
        fingerprint=req.fingerprint,
    )


def make_ask_message(
    ask: Ask,
    excluded: Sequence[str],
    timeout_s: float,
) -> AskMessage:
    """Put an ask on the wire; its deadline travels as time left."""
    return AskMessage(
        request_id=ask.request_id,
        service=ask.service,
        tier=ask.tier,
        workspace=ask.workspace,
        cost=ask.cost,
        prompt_tokens=ask.prompt_tokens,
        prefixes=ask.prefixes,
        timeout_s=timeout_s,
        cancellable=ask.cancellable,
        excluded=excluded,
        fingerprint=ask.fingerprint,
    )


def _parse_prompt(body: bytes) -> tuple[str, int]:
    try:
        payload = json.loads(body)
    except ValueError:
        return '', DEFAULT_MAX_TOKENS
    if not isinstance(payload, dict):
        return '', DEFAULT_MAX_TOKENS
    prompt = payload.get('prompt', '')
    max_tokens = payload.get('max_tokens', DEFAULT_MAX_TOKENS)
    return (
        prompt if isinstance(prompt, str) else '',
        max_tokens if isinstance(max_tokens, int) else DEFAULT_MAX_TOKENS,
    )
