"""Names of the platform's HTTP headers, and of topics in its store."""

from typing import Final

ATTEMPT_ID: Final = 'x-bramleybend-attempt-id'
TIMEOUT_MS: Final = 'x-bramleybend-deadline-ms'
EXPECT_RUNNER: Final = 'x-bramleybend-expect-instance'
WORKSPACE: Final = 'x-bramleybend-tenant'
RESPONSE_STAMP: Final = 'x-bramleybend-response-stamp'
NOT_EXECUTED: Final = 'x-bramleybend-not-executed'
TOKEN_COUNTS: Final = 'x-bramleybend-token-counts'
PROMPT_PARTS: Final = 'x-bramleybend-prompt-prefix'
LENGTH_HINT: Final = 'x-bramleybend-length-hint'
LAST_EVENT_ID: Final = 'last-event-id'
RESUMES: Final = 'resumes'
AUTHORIZATION: Final = 'authorization'

# Only the system itself may set these. From a caller, they could reserve an
# engine's memory or read the memory of another request there.
ENGINE_HEADERS: Final = frozenset(
    (
        'x-bramleybend-hold',
        'x-bramleybend-pin-ms',
        'x-bramleybend-kv-backup',
        'kv-from',
        'kv-fetch',
        'x-bramleybend-expect-version',
    )
)
SYSTEM_HEADERS: Final = ENGINE_HEADERS | frozenset(
    (EXPECT_RUNNER, WORKSPACE, TIMEOUT_MS, AUTHORIZATION, LAST_EVENT_ID)
)

MANIFEST_TOPIC: Final = 'keyed.op'
MANIFEST_KEY: Final = 'config'
RUNNER_TOPIC: Final = 'keyed.servers'
SNAPSHOT_TOPIC: Final = 'keyed.bramleybend-last-known'  # this system's own
VM_TOPIC: Final = 'keyed.bramleybend-vms'  # this system's own
STREAM_TOPIC: Final = 'bramleybend-streams'  # this system's own
QUARANTINE_TOPIC: Final = 'keyed.bramleybend-crashes'  # this system's own
