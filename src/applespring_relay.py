"""Starts applespring-relay from a checkout, without an installed package."""

import signal
import sys

# SIGHUP would end a process that is still importing its modules.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from applespring.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
