"""Requests of test callers, each with unique content."""

import json
import uuid
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, Final

import yaml

from bramleybend.models import Repeat, ServiceKind, Tier
from tests.utils.expected_answers import (
    content_hash,
    expected_body,
    expected_text,
)

WORDS: Final = ('stall', 'flare', 'crosswind', 'circuit', 'trim', 'glide')


@dataclass(frozen=True)
class Declaration:
    """The profiles and workspaces of a terms document."""

    document: dict[str, Any]

    @classmethod
    def load(cls, text: str) -> 'Declaration':
        """Parse a terms document (YAML)."""
        return cls(yaml.safe_load(text))

    def tier(self, profile: str) -> Tier:
        """Return a profile's tier."""
        return Tier(self.document['profiles'][profile]['tier'])

    def repeat(self, profile: str) -> Repeat:
        """Return the repeat rule of a profile."""
        return Repeat(self.document['profiles'][profile]['repeat'])

    def service(self, profile: str) -> str:
        """Return the service of a profile."""
        return str(self.document['profiles'][profile]['service'])

    def kind(self, profile: str) -> ServiceKind:
        """Return the kind of service that serves a profile."""
        service = self.document['services'][self.service(profile)]
        return ServiceKind(service['kind'])

    def workspaces(self, profile: str) -> list[str]:
        """Return the workspaces that may use a profile."""
        return [
            name
            for name, workspace in self.document['workspaces'].items()
            if profile in workspace['profiles']
        ]


@dataclass(frozen=True)
class Work:
    """One request of a caller; retries send it under further request ids."""

    workspace: str
    service: str
    profile: str
    tier: Tier
    repeat: Repeat
    body: bytes
    prompt: str = ''  # empty for plain services
    max_tokens: int = 0
    is_streamed: bool = False
    deadline_s: float = 15
    key: str = field(default_factory=lambda: uuid.uuid4().hex)

    @cached_property
    def content(self) -> str:
        """Return the content hash that runners record for this request."""
        if self.prompt:
            return content_hash(self.prompt.encode())
        return content_hash(self.body)

    def is_complete(self, answer: bytes) -> bool:
        """Whether an unstreamed answer is the complete expected one."""
        if not self.prompt:
            return answer == expected_body(self.body)
        try:
            return self.is_complete_text(json.loads(answer)['text'])
        except (ValueError, KeyError, TypeError):
            return False

    def is_complete_text(self, text: str) -> bool:
        """Whether the joined tokens of a stream are the complete answer."""
        return text == expected_text(self.prompt, self.max_tokens)


class WorkFactory:
    """Makes requests under the profiles of one terms document."""

    def __init__(self, declaration: Declaration) -> None:
        """Use the tiers and services of `declaration`."""
        self._declaration = declaration

    def plain(self, workspace: str, profile: str, **options: Any) -> Work:
        """Make a booking request for a plain service."""
        booking = {'slot': uuid.uuid4().hex, 'aircraft': 'AP-BHK'}
        return Work(
            **self._profile_fields(workspace, profile),
            body=json.dumps(booking).encode(),
            **options,
        )

    def engine(
        self,
        workspace: str,
        profile: str,
        prompt_tokens: int,
        max_tokens: int,
        is_streamed: bool = True,
        marker: str = '',
        **options: Any,
    ) -> Work:
        """Make a completion request: a workspace's shared prefix, then new text.

        The prompt has about `prompt_tokens` tokens and contains `marker`.
        """
        prompt = _prompt(workspace, prompt_tokens, marker)
        body = {
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': is_streamed,
        }
        return Work(
            **self._profile_fields(workspace, profile),
            body=json.dumps(body).encode(),
            prompt=prompt,
            max_tokens=max_tokens,
            is_streamed=is_streamed,
            **options,
        )

    def _profile_fields(self, workspace: str, profile: str) -> dict[str, Any]:
        return {
            'workspace': workspace,
            'service': self._declaration.service(profile),
            'profile': profile,
            'tier': self._declaration.tier(profile),
            'repeat': self._declaration.repeat(profile),
        }


def _prompt(workspace: str, tokens: int, marker: str) -> str:
    # All prompts of a workspace begin with the same text, so that a prefix
    # cache can serve half of each prompt; the other half is unique.
    shared = f'{workspace} {" ".join(WORDS)} ' * tokens
    unique = f'{uuid.uuid4().hex} {marker} {uuid.uuid4().hex} ' * tokens
    half = max(tokens * 2, 128)
    return shared[:half] + unique[:half]
