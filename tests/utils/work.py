"""Requests that callers send, each with a content of its own."""

import json
import uuid
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, Final

import yaml

from bramleybend.models import Repeat, ServiceKind, Tier
from tests.utils.answers import content_hash, expected_body, expected_text

WORDS: Final = ('stall', 'flare', 'crosswind', 'circuit', 'trim', 'glide')


@dataclass(frozen=True)
class Declared:
    """What a declaration says of the profiles, as callers know them."""

    document: dict[str, Any]

    @classmethod
    def load(cls, text: str) -> 'Declared':
        """Read a declaration file."""
        return cls(yaml.safe_load(text))

    def tier(self, profile: str) -> Tier:
        """Return a profile's tier."""
        return Tier(self.document['profiles'][profile]['tier'])

    def repeat(self, profile: str) -> Repeat:
        """Return how often a profile's requests may run."""
        return Repeat(self.document['profiles'][profile]['repeat'])

    def service(self, profile: str) -> str:
        """Return the service of a profile."""
        return str(self.document['profiles'][profile]['service'])

    def kind(self, profile: str) -> ServiceKind:
        """Return what stands behind a profile."""
        service = self.document['services'][self.service(profile)]
        return ServiceKind(service['kind'])

    def workspaces(self, profile: str) -> list[str]:
        """Return who may use a profile."""
        return [
            name
            for name, workspace in self.document['workspaces'].items()
            if profile in workspace['profiles']
        ]


@dataclass(frozen=True)
class Work:
    """One request as its caller means it, whatever ids it is sent under."""

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
        """Return the hash that runners record for this request."""
        if self.prompt:
            return content_hash(self.prompt.encode())
        return content_hash(self.body)

    def is_whole(self, answer: bytes) -> bool:
        """Whether an unstreamed answer is this request's own, entire."""
        if not self.prompt:
            return answer == expected_body(self.body)
        try:
            return self.is_whole_text(json.loads(answer)['text'])
        except (ValueError, KeyError, TypeError):
            return False

    def is_whole_text(self, text: str) -> bool:
        """Whether the joined tokens of a stream are the entire answer."""
        return text == expected_text(self.prompt, self.max_tokens)


class WorkMaker:
    """Makes requests under the profiles of one declaration."""

    def __init__(self, declared: Declared) -> None:
        """Take tiers and services from `declared`."""
        self._declared = declared

    def plain(self, workspace: str, profile: str, **options: Any) -> Work:
        """Make a short call of a plain service."""
        booking = {'slot': uuid.uuid4().hex, 'aircraft': 'AP-BHK'}
        return Work(
            **self._named(workspace, profile),
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
        """Make a prompt: the workspace's own preamble, then a new text."""
        prompt = _prompt(workspace, prompt_tokens, marker)
        body = {
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': is_streamed,
        }
        return Work(
            **self._named(workspace, profile),
            body=json.dumps(body).encode(),
            prompt=prompt,
            max_tokens=max_tokens,
            is_streamed=is_streamed,
            **options,
        )

    def _named(self, workspace: str, profile: str) -> dict[str, Any]:
        return {
            'workspace': workspace,
            'service': self._declared.service(profile),
            'profile': profile,
            'tier': self._declared.tier(profile),
            'repeat': self._declared.repeat(profile),
        }


def _prompt(workspace: str, tokens: int, marker: str) -> str:
    # Half of a prompt is the syllabus its workspace always sends, which is
    # what a prefix cache can save; the rest is new.
    shared = f'{workspace} {" ".join(WORDS)} ' * tokens
    unique = f'{uuid.uuid4().hex} {marker} {uuid.uuid4().hex} ' * tokens
    half = max(tokens * 2, 128)
    return shared[:half] + unique[:half]
