"""Every name that the platform uses: calls, headers, fields and words."""

from __future__ import annotations

# Calls of the store
ROWS_READ = "/rows-get"
ROWS_COMMIT = "/rows-tx"
ROWS_CHANGES = "/rows-feed"
OBJECT_PUT = "/blob-put/"
OBJECT_GET = "/blob-get/"
OBJECT_DROP = "/blob-drop/"
OBJECT_LIST = "/blob-list"

# Tables and keys that the platform writes
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WORKERS_TABLE = "servers"

# The table that the operator reads
STATUS_TABLE = "status"

# Calls of callers
RESOLVE_PATH = "/resolve"
CALLER_ZONE = "zone"
CALLER_HOST = "name"
JOB_PREFIX = "/lots/"
ITEM_PREFIX = "/items/"

# Headers
REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"
PREFIX = "Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
EXPECTED_WORKER = "Expect-Instance"
LOAD = "Server-Load"
NOT_RUN = "Not-Run"
CALLER_KEY = "Api-Key"
TENANT = "Tenant"
WAIT_MS = "Wait-Ms"

# Words
READY = "ready"
DRAINING = "draining"
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"
BATCH = "batch"
COMPLETED = "completed"
GIVEN_UP = "dead_lettered"

STATUS_OTHER_WORKER = 421
SETTINGS_VARIABLE = "MOUNTSTAND_SETTINGS"
