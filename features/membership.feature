Feature: Membership and evidence
  Guards against new work for an upstream that is leaving or without evidence
  that it serves, and against a faulty list that disables a whole pool.

  The pool `llm` reports its load, the pool `svc` does not. Times are seconds;
  every script starts with list 5 of all upstreams, read at 0 s.

  Scenario Outline: Only upstreams shown to be serving get new work
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4"
    When the events "<script>" happen
    Then the usable upstreams of "<pool>" are "<usable>"

    Examples: evidence lasts 2 s
      | script                                        | pool | usable      |
      | at 2                                          | svc  | s1 s2 s3    |
      | at 2.1                                        | svc  |             |
      | at 2, confirm 5, at 4                          | svc  | s1 s2 s3    |
      | at 2, confirm 4, at 4                          | llm  |             |
      | at 3, answer s1, at 5                         | svc  | s1          |
      | at 3, report m1, at 5                         | llm  | m1          |
      | at 3, report m1 aged 3.5, at 4                | llm  |             |

    Examples: the list may name an upstream before the configuration does
      | script                                        | pool | usable      |
      | list 6 of all s4:svc, pool svc s3 s4, at 1    | svc  | s3 s4       |
      | list 6 of all s4:svc, pool svc s3 s4, at 2.1  | svc  |             |
      | list 6 of all s4:svc, at 1, pause, pool svc s3 s4, at 1.5 | svc |  |

    Examples: without the platform the last list suffices for pools without load reports
      | script                                        | pool | usable      |
      | at 3, fail, at 3600                           | svc  | s1 s2 s3    |
      | at 3, fail, at 3600                           | llm  |             |
      | at 3, list 4 of s1 m1, at 60                  | svc  | s1 s2 s3    |
      | at 3, list 6 of -, at 60                      | svc  | s1 s2 s3    |
      | at 3, list 6 of s1 s1 s2 s3, at 60            | svc  | s1 s2 s3    |

    Examples: after a pause nothing is used before a read of the list has ended
      | script                                        | pool | usable      |
      | at 1, pause                                   | svc  |             |
      | at 1, pause                                   | llm  |             |
      | at 3, fail, at 9, pause                       | svc  |             |
      | at 3, fail, at 9, pause, fail                 | svc  | s1 s2 s3    |
      | at 3, fail, at 9, pause, fail asked 8         | svc  |             |
      | at 3, list 6 of s1 m1 m2 m3 m4, pause         | svc  |             |
      | at 9, pause, confirm 5 asked 8                | svc  |             |
      | at 9, pause, confirm 5 asked 9                | svc  | s1 s2 s3    |
      | at 9, pause, answer s1 asked 8                | svc  |             |
      | at 9, pause, report m1 asked 8                | llm  |             |
      | at 3, fail, tick, at 3.9, tick, at 4.8        | svc  | s1 s2 s3    |
      | at 3, fail, tick, at 9                        | svc  |             |

    Examples: a leaving notice applies to its incarnation, or until signs of serving 30 s later
      | script                                             | pool | usable   |
      | leaving s1 by header, list 6 of all, answer s1     | svc  | s2 s3    |
      | list 6 of all s1/leaving, list 7 of all            | svc  | s2 s3    |
      | leaving m1 by report, report m1                    | llm  | m2 m3 m4 |
      | at 3, fail, leaving s1 by koper-2                  | svc  | s2 s3    |
      | list 6 of all s1/live/7, leaving s1 by header, list 7 of all s1/live/8 | svc | s1 s2 s3 |
      | list 6 of all s1/live/8, leaving s1/7 by koper-2   | svc  | s1 s2 s3 |
      | list 6 of all s1/live/8, leaving s1/8 by koper-2   | svc  | s2 s3    |
      | leaving m1 by report, at 29, report m1             | llm  |          |
      | leaving m1 by report, at 31, report m1             | llm  | m1       |
      | leaving m1 by report, at 31, report m1 aged 2      | llm  |          |
      | list 6 of all s1/leaving, at 1, list 7 of all, at 31, list 8 of all | svc | s1 s2 s3 |
      | leaving s1 by header, list 6 of all, at 31, list 8 of all | svc | s2 s3 |
      | leaving s1 by header, at 0.2, list 6 of s2 s3 m1 m2 m3 m4, at 0.4, list 7 of all, at 1.2, leaving s1 by koper-2 aged 0.3, at 31, list 8 of all | svc | s1 s2 s3 |

    Examples: a list that removes more than half of a pool is suspect
      | script                                        | pool | usable      |
      | at 3, list 6 of s1 s2 m1 m2 m3 m4                   | svc  | s1 s2       |
      | at 3, list 6 of s1 m1 m2 m3 m4                      | svc  | s1 s2 s3    |
      | list 6 of s1 m1 m2 m3 m4, at 30, tick, confirm 6    | svc  | s1 s2 s3    |
      | list 6 of s1 m1 m2 m3 m4, at 61, tick, confirm 6    | svc  | s1          |
      | list 6 of m1 m2 m3 m4, at 61, tick, confirm 6       | svc  | s1 s2 s3    |
      | list 6 of s1 s2 s3 m1, at 1, list 7 of all, at 3 | llm | m1 m2 m3 m4 |
      | list 6 of s1 s2 s3 m1, at 2.5, confirm 6      | llm  | m1          |
      | list 6 of s1 m1 m2 m3 m4, leaving s2 by header | svc | s1 s3       |

    Examples: a list from a peer
      | script                                        | pool | usable      |
      | at 3, fail, peer list 6 of all s1/leaving     | svc  | s2 s3       |
      | at 3, peer list 6 of all                      | svc  |             |
      | at 3, peer list 6 of all confirmed 2, at 4    | svc  | s1 s2 s3    |

  Scenario Outline: A write to an upstream that must not get work is refused with the reason
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4"
    When the events "<script>" happen
    Then a write to "<upstream>" is "<check>"

    Examples:
      | script               | upstream | check   |
      | at 1                 | s1       | ok      |
      | at 3                 | s1       | stale   |
      | leaving s1 by header | s1       | leaving |
      | at 1                 | other    | unknown |

  Scenario: Upstreams that report load are probed before their evidence is stale
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4"
    When the events "at 1, report m2, at 1.6" happen
    Then the upstreams to probe are "m1 m3 m4"

  Scenario: Peers that forward a notice to each other do not renew it for ever
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4"
    When the events "leaving s1 by header, at 25, leaving s1 by koper-2 aged 25, at 31" happen
    Then 0 notices are forwarded to peers

  Scenario: Notices about unknown names do not displace those about known ones
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4"
    When the events "leaving s1 by header" happen
    And 3000 notices about unknown names arrive
    Then the table has 2048 leaving notices
    And a write to "s1" is "leaving"

  Scenario: A platform that was never reachable does not disable the pools of the document
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4" without a list
    When the events "fail, at 3" happen
    Then the usable upstreams of "svc" are "s1 s2 s3"

  Scenario Outline: Leaving entry instances are not used as peers, those of a suspect removal are
    Given a membership of "svc: s1 s2 s3" and "llm: m1 m2 m3 m4"
    When the events "list 6 of all e1:entry e2:entry e3:entry@izola, <more>" happen
    Then the entry instances in "<failure_domain>" are "<names>"

    Examples:
      | more                         | failure_domain | names    |
      | at 1                         |                | e1 e2 e3 |
      | at 1                         | koper          | e1 e2    |
      | leaving e1 by izola-1        | koper          | e2       |
      | list 7 of all e1:entry       |                | e1 e2 e3 |

  Scenario: Instances that received the same lists in any order agree
    Then the accepted lists agree and no revision decreases in every generated case
