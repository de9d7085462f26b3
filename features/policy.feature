Feature: Admission, queue and grants of a pool's gate

  Scenario: Any sequence of calls keeps the invariants of the gate
    # Guards against lost or duplicated tickets, grants beyond the limits or to
    # an unusable or excluded upstream, and grants of expired tickets.
    Then the gate keeps its invariants under generated sequences

  Scenario: An expired ticket is shed and never granted
    # Guards against an upstream that spends time on a call too late to answer.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 2 calls with 3.5 s left are submitted at 0 s
    And 3.0 s pass without a call ending
    And a call succeeds
    Then 1 calls are granted in all
    And 1 calls are shed as "deadline_unreachable"

  Scenario: A call with less time left than a call takes is refused at once
    # No later retry could succeed, so the refusal must not give a retry time.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When a call with 0.5 s left is submitted
    Then it is refused as "deadline_unreachable" without a retry time

  Scenario Outline: The site's preference decides about a call that may be late
    # Guards against a preference without effect. Of the 1.5 s that are left,
    # the mean latency takes 1 s, but the high quantile 2 s.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    And a site that prefers "<preference>"
    When a call with 1.5 s left is submitted
    Then <granted> calls are granted in all

    Examples:
      | preference | granted |
      | attainment | 1       |
      | cost       | 0       |

  Scenario: A refused call's retry time covers the queue ahead of it
    # An earlier retry would be refused again.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 5 calls of priority 0 of the same account are submitted
    And a call with 3 s left is submitted
    Then it is refused as "deadline_unreachable" with 5 to 7 s to retry

  Scenario: Urgent calls of another account delay a call by one round only
    # Guards against an account far over its share that starves the less urgent
    # calls of all other accounts.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 20 calls of priority 0 are submitted
    And a call with 8 s left is submitted
    And 4 calls are run one after the other
    Then account "acct" got 1 of them

  Scenario: A full queue sheds a call of the account most over its share
    # Guards against an account that fills the queue and keeps out the others.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    And a queue of at most 4
    When 5 calls of account "large" are submitted
    And 1 calls of account "small" are submitted
    Then 1 calls of account "large" are shed as "overloaded"
    When 1 calls of account "large" are submitted
    Then the last one is refused as "overloaded"

  Scenario: Accounts are served in proportion to their weights
    # Guards against weights without effect.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 9 calls of account "a" with weight 2 are submitted
    And 9 calls of account "b" with weight 1 are submitted
    And 9 calls are run one after the other
    Then account "a" got 6 of them

  Scenario: Urgent calls are granted before the others
    # Guards against urgent calls that wait for the less urgent ones queued
    # before them.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 3 calls of priority 9 are submitted
    And 1 calls of priority 0 are submitted
    And 2 calls are run one after the other
    Then the second had priority 0

  Scenario: A queued call that cannot start does not block the others
    # Guards against an idle upstream: the second call that excludes "u1" waits
    # for "u0" and must not delay the call that "u1" can serve.
    Given a gate with 2 upstreams of 1 slots and calls of 1 s
    When 2 calls that exclude "u1" are submitted
    And 1 calls are submitted
    Then 1 calls are in flight at "u1"

  Scenario: A call that may not wait is refused instead of queued
    # Guards against a caller that waits although its rule forbids it.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 1 calls are submitted
    And a call that may not wait is submitted
    Then it is refused as "overloaded" with 0 to 5 s to retry

  Scenario: Queued calls are shed when no upstream is usable any more
    # Otherwise they would wait in vain until their deadlines.
    Given a gate with 1 upstreams of 1 slots and calls of 1 s
    When 3 calls are submitted
    And no upstream is usable
    Then 2 calls are shed as "no_upstream"

  Scenario: A later report does not revoke that an upstream is leaving
    # Guards against new calls to an upstream that is about to stop.
    Given a gate with 1 upstreams of 2 slots and calls of 1 s
    When "u0" reports that it is leaving
    And "u0" reports that it is serving
    And a call with 9 s left is submitted
    Then it is refused as "no_upstream" with 1 to 2 s to retry

  Scenario Outline: A faulty upstream loses its traffic and the pool goes on
    # Guards against an upstream that fails, hangs or is slow and still gets its
    # share of the calls.
    Given a gate with 9 upstreams of 4 slots and calls of 1 s
    When "u0" is <fault> under 20 calls a second for 30 s
    Then at most <calls> of the last 300 calls went to "u0"
    And at least <share> percent of the calls were answered

    Examples:
      | fault  | calls | share |
      | dead   | 3     | 98    |
      | hung   | 3     | 98    |
      | slow   | 3     | 98    |

  Scenario: An upstream ten times slower than the others is ejected
    # Its calls succeed, so only the latency shows the fault.
    Given a gate with 4 upstreams of 4 slots and calls of 1 s
    When every upstream ends 5 calls of 1 s, but those of u0 take 10 s
    Then 1 upstreams are ejected

  Scenario: A stalled upstream gets no new calls while another can start them
    # Guards against calls sent to a hung upstream until the first one times out.
    Given a gate with 2 upstreams of 4 slots and calls of 1 s
    When 1 calls that exclude "u1" are submitted
    And 20.0 s pass without a call ending
    And 4 calls are submitted
    Then 4 calls are in flight at "u1"

  Scenario: Failures of calls started before an ejection do not count again
    # Otherwise the upstream would be suspect when its ejection ends.
    Given a gate with 4 upstreams of 6 slots and calls of 1 s
    When 6 calls that exclude "u1,u2,u3" are submitted
    And all calls in flight fail
    Then 1 upstreams are ejected
    And "u0" has a failure ratio of 0.5

  Scenario: At most half of the upstreams are ejected
    # Guards against a fault of all upstreams that leaves the pool without any.
    Given a gate with 3 upstreams of 2 slots and calls of 1 s
    When every upstream fails 9 calls
    Then 1 upstreams are ejected
    And a new call is granted

  Scenario: Cancelled calls do not count as failures of the upstream
    # Guards against the ejection of upstreams because callers disconnect.
    Given a gate with 4 upstreams of 2 slots and calls of 1 s
    When 40 calls are granted and cancelled
    Then 0 upstreams are ejected
    And every upstream has a failure ratio of 0

  Scenario: Hung calls of stalled upstreams take no capacity from the others
    # Guards against a pool that stops because its whole share is stuck in calls
    # that do not end.
    Given a gate with 4 upstreams of 4 slots and calls of 1 s
    And a share of 0.3
    When 8 calls that exclude "u2,u3" are submitted
    And 20.0 s pass without a call ending
    And 4 calls that exclude "u0,u1" are submitted
    Then 2 calls are in flight at "u2"
    And 2 calls are in flight at "u3"

  Scenario: Limits follow the share and never fall below one call
    # With a limit of 0 the instance could not use the pool at all.
    Given a gate with 4 upstreams of 4 slots and calls of 1 s
    And a share of 0.01
    When 9 calls with 60 s left are submitted at 0 s
    Then 1 calls are granted in all

  Scenario: An unchanged upstream keeps its state in a new configuration
    # Guards against calls in flight that are no longer counted.
    Given a gate with 2 upstreams of 1 slots and calls of 1 s
    When 2 calls are submitted
    And the pool is replaced by one that moves "u1"
    And 2 calls are submitted
    Then 1 calls are in flight at "u0"
    And 1 calls are in flight at "u1"

  Scenario Outline: Calls leave the failure domain only as their spill allows
    # "u0" is the only upstream in the gate's failure domain.
    Given a gate with 3 upstreams of 2 slots in domains and calls of 1 s
    When <calls> calls with spill "<spill>" are submitted
    Then <local> calls are in flight at "u0"

    Examples:
      | spill | calls | local |
      | never | 4     | 2     |
      | full  | 2     | 2     |
      | full  | 6     | 2     |
      | any   | 6     | 2     |

  Scenario: The gate wakes its caller when an ejection ends
    # Guards against a queued call that waits for an event that never comes.
    Given a gate with 2 upstreams of 1 slots and calls of 1 s
    When "u0" fails until it is ejected
    And 1 calls that exclude "u1" are submitted
    And 2 calls with 60 s left are submitted at 0 s
    Then the next wake is when the ejection of "u0" ends

  Scenario: One refused connection ejects
    Guards against a dead upstream that gets a call every few seconds, because
    each instance ejects it only after three failures.
    Given a gate with 3 upstreams of 1 slots and calls of 1 s
    When "u0" refuses one connection
    Then "u0" is ejected
