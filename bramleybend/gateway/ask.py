"""Builds the slot request for an owner, with an estimate of the work."""

import json
from collections.abc import Sequence
from typing import Final

from bramleybend.decisions.prefixes import prefix_hashes
from bramleybend.gateway.run import CallerRequest
from bramleybend.models import Profile, ServiceKind, SlotRequest
from bramleybend.wire.bramleybend_pb2 import AskMessage

CHARS_PER_TOKEN: Final = 4
# Cost of one decoded token in prompt tokens. A decoded token takes an engine
# step of its own; the prompt tokens of a batch share one step. The ratio is
# that of the simulated engines; it only ranks long requests against short ones.
DECODE_WEIGHT: Final = 8
DEFAULT_MAX_TOKENS: Final = 128


def make_ask(
    req: CallerRequest, profile: Profile, kind: ServiceKind
) -> SlotRequest:
    """Build the slot request, with prompt length and cost estimated."""
    if kind is ServiceKind.ENGINE:
        prompt, max_tokens = _parse_prompt(req.body)
    else:
        # Plain services decode no tokens. With the default completion length
        # their short calls would look costly enough to be shed for overload.
        prompt, max_tokens = req.body.decode(errors='replace'), 0
    prompt_tokens = max(len(prompt) // CHARS_PER_TOKEN, 1)
    return SlotRequest(
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
    ask: SlotRequest,
    excluded: Sequence[str],
    timeout_s: float,
) -> AskMessage:
    """Build the message; the deadline is sent as `timeout_s`, the time left."""
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
