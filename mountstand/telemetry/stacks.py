"""The stacks of all threads of a process, for its log: those that stand at the same place as one.

The interpreter's own dump on a fatal signal ends after a hundred threads, which a daemon has more
of, and begins with the newest: the main thread is not in it.
"""

from __future__ import annotations

import sys
import threading
import traceback
from collections import defaultdict

DEEPEST_FRAMES = 12
"""Frames of a stack that are told, the innermost ones; what a thread waits for is among them."""


def stacks() -> list[str]:
    """Return one text per place at which threads stand, with the threads' names."""
    name_by_id = {thread.ident: thread.name for thread in threading.enumerate()}
    names_by_stack: defaultdict[str, list[str]] = defaultdict(list)
    for thread_id, frame in sys._current_frames().items():
        summary = traceback.extract_stack(frame)[-DEEPEST_FRAMES:]
        stack = " < ".join(f"{f.name} ({f.filename}:{f.lineno})" for f in reversed(summary))
        names_by_stack[stack].append(name_by_id.get(thread_id, str(thread_id)))
    return [f"{', '.join(sorted(names))}: {stack}" for stack, names in names_by_stack.items()]
