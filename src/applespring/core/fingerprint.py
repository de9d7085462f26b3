"""Fingerprints, by which a request that comes again is recognized.

A caller gives each attempt another id, and headers such as the deadline differ
from one to the next.
"""

import hashlib
from base64 import urlsafe_b64encode

# Longest name that is kept as it is. Those of the users' platform have 8 to 20
# characters.
NAME_CHARS_MAX = 64
# No caller can find a request with the fingerprint of another one.
FINGERPRINT_BYTES = 12


def fingerprint_request(
    method: str, host: str, target: bytes, account: str, body: bytes
) -> str:
    """Returns the fingerprint of a request, 16 characters.

    Args:
        method: HTTP method.
        host: Host header.
        target: Path and query.
        account: Name of the client account, which may have several keys, or "".
        body: Complete body. A megabyte takes about a millisecond.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (method.encode(), host.encode(), target, account.encode()):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body)
    return urlsafe_b64encode(digest.digest()).decode()


def shorten_name(name: str) -> str:
    """Returns a name that may be kept after its request has ended.

    A long one is replaced by its fingerprint, so that equal names stay equal.
    """
    if len(name) <= NAME_CHARS_MAX:
        return name
    digest = hashlib.blake2b(name.encode(), digest_size=NAME_CHARS_MAX // 4)
    return digest.hexdigest()
