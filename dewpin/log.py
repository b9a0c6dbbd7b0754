"""The log: plain lines on standard error, so many a second for each kind. It must never raise or block: where nobody
reads the pipe that it goes to, lines are lost."""
import os
import stat
import sys
import time

MOST = 5        # lines a second for each kind
_kinds = {}     # kind: [second, lines in it, lines left out]


def free():
    """Lets a full pipe lose lines instead of holding up the process."""
    if stat.S_ISFIFO(os.fstat(2).st_mode):
        os.set_blocking(2, False)


def say(kind, words):
    second = int(time.monotonic())
    seen = _kinds.setdefault(kind, [second, 0, 0])
    if seen[0] != second:
        seen[0], seen[1] = second, 0
    if seen[1] >= MOST:
        seen[2] += 1
        return
    seen[1] += 1
    left_out, seen[2] = f" ({seen[2]} more before)" if seen[2] else "", 0
    try:
        print(f"dewpin: {kind}: {words}{left_out}", file=sys.stderr, flush=True)
    except OSError:
        pass
