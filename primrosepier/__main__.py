"""Entry point of ``python -m primrosepier``."""

import signal
import sys

__all__: list[str] = []

# Command that handles SIGHUP once it serves.
RELOADING_COMMAND = "entry-router"

if __name__ == "__main__":
    if sys.argv[1:2] == [RELOADING_COMMAND]:
        # The signal would end the process while its modules are imported. Settings are
        # read after that, so nothing is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import main

    sys.exit(main())
