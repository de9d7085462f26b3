"""Starts applespring-relay from a checkout, without an installed package."""

import sys

from applespring.platform.main import main

if __name__ == "__main__":
    sys.exit(main())
