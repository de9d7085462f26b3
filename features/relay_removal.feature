Feature: Upstreams whose entry is removed while contact is lost
  Guards against requests to an upstream that has left, later than 2 s after the
  registry has acknowledged it and 3 s after the instance can reach the registry
  (DRAIN, inc-late-removal), and against running upstreams that get none since
  their entries lapsed while the registry was away.

  Scenario Outline: An upstream leaves while the contact with the registry is lost
    Given 3 instances that watch a registry, with 3 upstreams of each kind
    When <rate> requests a second come on the route <route>, <contact> at 2 s, and <name> is removed 0.4 s later
    Then no request reaches it later than allowed
    And all requests are served

    Examples:
      | route  | rate | name | contact                                              |
      | unsafe | 120  | p0   | open connections to the registry go silent           |
      | stream | 60   | e0   | open connections to the registry go silent           |
      | staged | 5    | s0   | open connections to the registry go silent           |
      | unsafe | 120  | p0   | open connections to the registry are reset           |
      | unsafe | 120  | p0   | the instances are cut off from the registry for 4 s  |
      | stream | 60   | e0   | the instances are cut off from the registry for 4 s  |
      | unsafe | 120  | p0   | the instances are cut off from the registry for 4.9 s |

  Scenario Outline: Entries lapse while the registry is away
    Given 3 instances that watch a registry, with 3 upstreams of each kind
    When 60 requests a second come on the route <route>, the registry is away for <away> s at 2 s, and all entries lapse and are back 1.9 s after it
    Then all requests are served

    Examples:
      | route  | away |
      | unsafe | 4    |
      | stream | 4    |
      | unsafe | 2.6  |
      | unsafe | 1    |
