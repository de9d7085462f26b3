Feature: Upstreams that are cold, on every path on which they get requests
  Guards against requests beyond what a cold upstream takes from all instances
  together in any second (FAILBACK).

  Scenario Outline: One of three upstreams starts again
    Guards against an upstream that all instances prefer after its start, since
    it has no load.
    Given <instances> instances with 3 engines and 3 services that speak
    And upstreams take 2 requests a second for 4 s after a start, 1.5 times and 1 more at most
    When <rate> requests a second come for 12 s on the route <route>, and <name> starts again at 2 s
    Then no cold upstream gets in a second more than its bound
    And it gets requests while it is cold
    And all requests are served since

    Examples:
      | instances | rate | route         | name |
      | 1         | 90   | safe          | p0   |
      | 7         | 30   | unsafe        | p0   |
      | 7         | 30   | stream        | e0   |
      | 40        | 30   | stream        | e0   |
      | 3         | 30   | resume        | e0   |
      | 3         | 5    | staged        | s0   |
      | 7         | 5    | staged-resume | s0   |

  Scenario Outline: All upstreams of a pool start again
    Guards against requests beyond the bound, or that are held, when there is no
    other upstream.
    Given <instances> instances with 3 engines and 3 services that speak
    And upstreams take 3 requests a second for 6 s after a start, 1.5 times and 1 more at most
    When <rate> requests a second come for 14 s on the route <route>, and <names> starts again at 2 s
    Then no cold upstream gets in a second more than its bound
    And each gets at least 0.9 of its cold rate
    And those that are refused since have not run, and are told when to come back

    Examples:
      | instances | rate | route  | names    |
      | 1         | 30   | safe   | p0 p1 p2 |
      | 7         | 30   | unsafe | p0 p1 p2 |
      | 7         | 30   | stream | e0 e1 e2 |

  Scenario: The registry can't be read
    Guards against instances that learn from peers of a start that is cold, and
    take the time for which it was cold then for the time that is left.
    Given 3 instances with 3 engines and 3 services that speak
    And upstreams take 2 requests a second for 4 s after a start, 1.5 times and 1 more at most
    When an instance that can't read the registry starts 2 s after p0 is listed as cold for 4 s
    Then p0 is cold there for at most 2 s more

  Scenario Outline: An upstream that can't be reached
    Guards against an instance that is cut off and holds all upstreams for cold,
    or sends at will to an upstream before its next entry is read.
    Given 3 instances with 3 engines and 3 services that speak
    And upstreams take 2 requests a second for 4 s after a start, 1.5 times and 1 more at most
    When a connection from i0 to p0 is <fails> while peers are <heard>
    Then p0 is <state> at i0

    Examples:
      | fails      | heard     | state |
      | refused    | heard     | cold  |
      | timed out  | heard     | cold  |
      | timed out  | not heard | warm  |

  Scenario: An evacuation ends
    Guards against requests at will to upstreams that have become cold without
    a newer entry.
    Given 3 instances with 3 engines and 3 services that speak
    And upstreams take 2 requests a second for 4 s after a start, 1.5 times and 1 more at most
    When the evacuation of their failure domain ends
    Then all of them are cold for 4 s, and so says the log

  Scenario: No cold engine is the source of a prefix
    Guards against work at a cold engine beside the requests that it gets.
    Given 3 instances with 3 engines and 3 services that speak
    And upstreams take 2 requests a second for 4 s after a start, 1.5 times and 1 more at most
    When an engine with a prefix is cold and another one gets a request for it
    Then the request names no source of the prefix
