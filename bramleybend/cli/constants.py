"""Names and defaults of the operators' programs."""

from typing import Final

CTL: Final = 'bramleybend-ctl'
TIMELINE: Final = 'bramleybend-timeline'

ENV_LOG_SERVICE: Final = 'BRAMLEYBEND_LOG_SERVICE'
ENV_VM_LIST: Final = 'BRAMLEYBEND_VM_LIST'
ENV_USER: Final = 'USER'

GATEWAY_PORT: Final = 7001
SCHEDULER_PORT: Final = 7002

# Longer than a short outage of the log, but short enough for an operator to
# wait for.
TIMEOUT_S: Final = 30.0
# Bounds the delay that one hanging process adds to a query of all processes.
CALL_TIMEOUT_S: Final = 2.0
POLL_S: Final = 0.5
STDIN: Final = '-'
