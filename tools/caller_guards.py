"""The guards that bound what callers use, for `tools/run_guards.py`."""

from guard import Guard

CROWD = "client_crowd"
ENTRY = "entry_crowd"
WIRE = "relay_wire"

CALLER_GUARDS = (
    Guard(
        "callers: bodies are counted",
        "relay/application.py",
        "                holding.grow(len(data), clock())\n",
        "",
        (CROWD, "The memory of the process holds -- @1.1"),
        (CROWD, "The memory of the process holds -- @1.2"),
    ),
    Guard(
        "callers: headers are counted",
        "relay/application.py",
        '+ HEADER_COST_BYTES * len(scope["headers"])',
        "",
        (CROWD, "The memory of the process holds -- @1.8"),
    ),
    Guard(
        "callers: a stated length is checked first",
        "relay/application.py",
        "        _check_announced_length(scope, doc)\n",
        "",
        (CROWD, "No body is asked for that will be refused"),
    ),
    Guard(
        "callers: connections yield",
        "serving/server.py",
        "        if yielding is None:\n",
        "        if True:\n",
        (CROWD, "The descriptors of the process hold -- @1.1"),
        (CROWD, "The descriptors of the process hold -- @1.4"),
    ),
    Guard(
        "callers: HTTP/2 is not served",
        "serving/http11.py",
        "        if self._allows_http2:\n",
        "        if True:\n",
        (CROWD, "An offer to upgrade is ignored -- @1.1"),
    ),
    Guard(
        "callers: submissions are counted",
        "entry/front/exchange.py",
        "                    self._holding.grow(len(data), self._clock())\n",
        "                    pass\n",
        (ENTRY, "The memory of the process holds -- @1.1"),
    ),
    Guard(
        "answers: an end after a failed upload is none",
        "relay/client.py",
        "if self.needs_end_mark and not self.has_end_mark:",
        "if False:",
        (WIRE, "without a mark of its end while the body is written -- @1.1"),
    ),
    Guard(
        "answers: statuses",
        "relay/client.py",
        "if resp.status_code not in FINAL_STATUSES:",
        "if False:",
        (WIRE, "An answer of no valid status -- @1.5"),
    ),
)
