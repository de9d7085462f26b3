Feature: Upstreams that name a rate limit for all instances together
  Guards against requests beyond the limit that an upstream has named (LIMIT,
  inc-rate-limit), on every path on which it gets any.

  Scenario Outline: One of three upstreams names a limit
    Guards against requests that are spread as if there were no limit.
    Given <instances> instances with 3 engines and 3 services that speak
    When <rate> requests a second come for 14 s on the route <route>, and <names> have from 2 s on a limit of <limit> a second
    Then no upstream with a limit gets in 4 s more than that and 5 requests
    And all requests are served

    Examples:
      | instances | rate | route         | names | limit |
      | 1         | 30   | safe          | p0    | 1     |
      | 7         | 30   | unsafe        | p0    | 1     |
      | 7         | 30   | unsafe        | p0    | 8     |
      | 7         | 30   | stream        | e0    | 1     |
      | 40        | 30   | stream        | e0    | 2     |
      | 3         | 30   | resume        | e0    | 0.5   |
      | 3         | 5    | staged        | s0    | 1     |
      | 7         | 5    | staged-resume | s0    | 1     |
      | 3         | 5    | staged        | e0    | 0     |

  Scenario Outline: All upstreams of a pool name a limit
    Guards against requests beyond the limits when there is no other upstream,
    against capacity that nobody uses, and against requests that are held.
    Given <instances> instances with 3 engines and 3 services that speak
    When <rate> requests a second come for 14 s on the route <route>, and <names> have from 2 s on a limit of <limit> a second
    Then no upstream with a limit gets in 4 s more than that and 5 requests
    And each gets at least 0.9 of its limit from 6 s on
    And requests that are refused have not run, and are told when to come back

    Examples:
      | instances | rate | route  | names    | limit |
      | 1         | 30   | safe   | p0 p1 p2 | 2     |
      | 7         | 30   | unsafe | p0 p1 p2 | 2     |
      | 7         | 30   | stream | e0 e1 e2 | 3     |
      | 3         | 12   | staged | s0 s1 s2 | 1     |

  Scenario: Requests wait for a permit if they can still be on time
    Guards against requests that are refused though there is a permit for them
    in time, and against requests that wait until they are late.
    Given 1 instances with 3 engines and 1 services that speak
    When p0 has a limit of 20 a second and 10 requests come at once each second for 8 s on the route safe
    Then at least 6 of 10 requests are served, each within 0.25 s
    And the others are refused within 20 ms, to come back within 1 s

  Scenario Outline: All instances know a limit that one of them was told
    Guards against requests of instances that the upstream has not told yet.
    Given <instances> instances with 3 engines and 3 services that speak
    When p0 names a limit of 1 a second to i0 alone
    Then all instances know it within 0.2 s

    Examples:
      | instances |
      | 7         |
      | 40        |

  Scenario: Time passes between two decisions
    Guards against a stage upstream that is never called since its permit is
    always to begin a moment later. Soak seed 9701 showed this fault.
    Given 3 instances with 3 engines and 3 services that speak
    And each reading of the clock takes 10 ns
    When 12 requests a second come for 14 s on the route staged, and s0 s1 s2 have from 2 s on a limit of 1 a second
    Then each gets at least 0.9 of its limit from 6 s on

  Scenario Outline: Instances come and go
    Guards against a share of the limit that two instances use at once, and
    against one that nobody uses any more.
    Given 7 instances with 3 engines and 3 services that speak
    When 30 requests a second come for 20 s on the route unsafe, and p0 p1 p2 have from 2 s on a limit of 3 a second, and at 6 s instances <event>
    Then no upstream with a limit gets in 4 s more than that and 5 requests
    And each gets at least 0.9 of its limit from 10 s on

    Examples:
      | event                      |
      | leave, the one that grants |
      | join                       |
      | restart                    |

  Scenario Outline: A limit that changes
    Guards against a limit that is kept after it has ended or was raised.
    Given 3 instances with 3 engines and 3 services that speak
    When 30 requests a second come for 14 s on the route unsafe, and p0 p1 p2 have from 2 s on a limit of <first> a second, and from 8 s on <then>
    Then no instance holds a limit other than <then> of an upstream that has answered since
    And at least 25 requests a second are served from <since> s on

    Examples:
      | first | then | since |
      | 2     | none | 11    |
      | 0     | none | 19    |
      | 2     | 20   | 11    |
      | 0     | 20   | 15    |

  Scenario: Another start of a limited upstream
    Guards against a limit that outlives the start of the upstream that named it.
    Given 3 instances with 3 engines and 3 services that speak
    When 150 requests a second come for 10 s on the route unsafe, and p0 with a limit of 1 a second starts again at 4 s
    Then its next start gets 10 requests or more in a second
