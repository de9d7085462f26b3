Feature: Upstreams that are cold
  Guards against requests beyond what a cold upstream takes from all instances
  together in any second (FAILBACK). Played without network.

  Scenario Outline: What shows that an upstream is cold
    Guards against a state that outlives its end or its upstream's start, and
    against an old entry that makes an upstream cold anew.
    When an upstream of a pool that is cold for 3 s after a start has <history>
    Then it is cold <times>

    Examples:
      | history                                                      | times            |
      | entry 1 of start 1 says 0 at 0                               | never            |
      | entry 1 of start 1 says 3 at 0                               | from 0 to 3      |
      | entry 1 of start 1 says 3 at 0, entry 2 of start 1 says 0 at 1 | from 0 to 1    |
      | entry 1 of start 1 says 3 at 0, entry 1 of start 1 says 3 at 2 | from 0 to 3    |
      | entry 1 of start 1 says 3 at 0, entry 1 of start 1 says 3 at 5 | from 0 to 3    |
      | entry 2 of start 1 says 0 at 0, entry 1 of start 1 says 3 at 1 | never          |
      | entry 1 of start 1 says 0 at 0, entry 2 of start 1 says 2 at 4 | from 4 to 6    |
      | entry 1 of start 1 says 3 at 0, entry 2 of start 2 says 0 at 1 | from 0 to 1    |
      | entry 1 of start 2 says 3 at 0, entry 2 of start 1 says 0 at 1 | from 0 to 3    |
      | entry 1 of start 1 says none at 0                            | never            |
      | new entry 1 of start 1 says none at 1                        | from 1 to 4      |
      | new entry 1 of start 1 says 0 at 1                           | never            |
      | evacuation at 1                                              | from 1 to 4      |
      | evacuation at 1, entry 2 of start 1 says 0 at 2              | from 1 to 2      |
      | refusal at 1, answer sent 2 at 2.5                           | from 1 to 5.5    |
      | refusal at 1, answer sent 0.5 at 1.5                         | from 1 to 20     |
      | refusal at 1, entry 2 of start 1 says 0 at 2                 | from 1 to 2      |
      | refusal at 1, entry 2 of start 2 says 2 at 3                 | from 1 to 5      |
      | entry 1 of start 1 says 0 at 0, header 2 sent 0 at 1         | from 1 to 3      |
      | entry 1 of start 1 says 3 at 0, header 0 sent 0 at 1         | from 0 to 1      |

  Scenario Outline: Bounds of a pool
    Guards against a bound where the settings or the pool name none, and
    against one that lets no request through.
    When a pool has a cold rate of <per_s> with an overshoot of <overshoot> and a slack of <slack>
    Then a cold upstream of it takes <bound> in a second

    Examples:
      | per_s | overshoot | slack | bound     |
      | 5     | 1.5       | 5     | 12        |
      | 5     | none      | 5     | unlimited |
      | 0     | 1.5       | 5     | unlimited |
      | 1     | 1.5       | 0     | 1         |
      | 0.5   | 1         | 0     | 1         |

  Scenario: Cold upstreams are bounded in number
    Guards against memory that grows with the upstreams that were ever cold.
    When 5000 upstreams are cold
    Then at most 2048 are held, those of listed upstreams among them

  Scenario Outline: The lower of two limits
    Guards against one limit that hides the other.
    When an upstream that is cold with a rate of <cold> has named a rate of <named>
    Then it gets <rate> a second, and <bound> in any second

    Examples:
      | cold | named | rate | bound |
      | 5    | none  | 5    | 12    |
      | 5    | 2     | 2    | 12    |
      | 5    | 9     | 5    | 12    |

  Scenario Outline: Values of the header
    Guards against a state that is changed by malformed or absurd values.
    When an answer says that it stays cold for <value>
    Then it is understood as <seconds>, with <count> values rejected

    Examples:
      | value      | seconds | count |
      | 2500       | 2.5     | 0     |
      | 0          | 0       | 0     |
      | -1         | none    | 1     |
      | nan        | none    | 1     |
      | 1e300      | none    | 1     |
      | x          | none    | 1     |
      | 9999999999 | none    | 1     |

  Scenario Outline: Values of entries and pools
    Guards against an entry or a configuration that is lost, and against a
    state that is changed, by a malformed or absurd figure.
    When an entry and a pool have the cold figures <value>
    Then they are read without them, and each is logged with its name, value and bound

    Examples:
      | value   |
      | -1      |
      | "3"     |
      | 1e300   |
      | true    |
      | [2]     |

  Scenario Outline: An upstream comes back cold
    Guards against requests beyond the bound in any second, wherever the demand
    is and however many instances have a part of the permits, and against room
    that nobody uses.
    Given <count> instances with demand for an upstream that takes <per_s> a second while it is cold, <overshoot> times and <slack> more at most
    When it starts again at 4 s, and at 12 s <event>
    Then in no second it gets more than its bound
    And it gets at least <share> of its cold rate from <since> s on

    Examples:
      | count | per_s | overshoot | slack | event                            | share | since |
      | 1     | 5     | 1.5       | 5     | nothing happens                  | 0.9   | 9     |
      | 7     | 5     | 1.5       | 5     | nothing happens                  | 0.9   | 9     |
      | 62    | 5     | 1.5       | 5     | nothing happens                  | 0.9   | 9     |
      | 80    | 5.8   | 1.5       | 5     | nothing happens                  | 0.9   | 9     |
      | 195   | 5     | 1.5       | 5     | nothing happens                  | 0.9   | 9     |
      | 300   | 5     | 1.5       | 5     | nothing happens                  | 0.9   | 9     |
      | 7     | 5     | 1.5       | 5     | half of them are cut off for 8 s | 0.9   | 25    |
      | 62    | 5     | 1.5       | 5     | half of them are cut off for 8 s | 0.9   | 25    |
      | 80    | 5.8   | 1.5       | 5     | a third is cut off for 8 s       | 0.9   | 25    |
      | 195   | 5     | 1.5       | 5     | half of them are cut off for 8 s | 0.9   | 27    |
      | 300   | 5     | 1.5       | 5     | half of them are cut off for 8 s | 0.9   | 27    |
      | 7     | 5     | 1.5       | 5     | 3 instances join                 | 0.9   | 17    |
      | 62    | 5     | 1.5       | 5     | 30 instances join                | 0.9   | 20    |
      | 300   | 5     | 1.5       | 5     | 30 instances join                | 0.9   | 20    |
      | 62    | 5     | 1.5       | 5     | the granter is lost              | 0.9   | 20    |

  Scenario Outline: A bound that leaves no room
    Guards against a burst, or permits that are used late, where the bound of a
    second is hardly above the rate.
    Given <count> instances with demand for an upstream that takes <per_s> a second while it is cold, <overshoot> times and <slack> more at most
    And each of them has found that it is down
    When it starts again at 4 s, and at 12 s <event>
    Then in no second it gets more than its bound
    And it gets at least <share> of its cold rate from <since> s on

    Examples:
      | count | per_s | overshoot | slack | event                            | share | since |
      | 1     | 1     | 1.5       | 0     | nothing happens                  | 0.9   | 9     |
      | 7     | 1     | 1.5       | 0     | nothing happens                  | 0.9   | 9     |
      | 62    | 1     | 1.5       | 0     | half of them are cut off for 8 s | 0.9   | 25    |
      | 62    | 1     | 1.5       | 1     | half of them are cut off for 8 s | 0.9   | 25    |
      | 80    | 5.8   | 1         | 1     | 30 instances join                | 0.9   | 20    |
      | 300   | 40    | 1         | 0     | nothing happens                  | 0.9   | 9     |

  Scenario Outline: A burst after a time without requests
    Guards against more in a second than the bound, or than the part of it that
    these instances have, whenever within its time each permit is used.
    When an instance that reaches <part> of 10 grants all it can after 5 s, for an upstream that takes <per_s> a second while it is cold, <overshoot> times and <slack> more at most
    Then no second may have more than <most>

    Examples:
      | part | per_s | overshoot | slack | most |
      | 10   | 5     | 1.5       | 5     | 12   |
      | 6    | 5     | 1.5       | 5     | 8    |
      | 4    | 5     | 1.5       | 5     | 4    |
      | 10   | 1     | 1.5       | 0     | 1    |
      | 4    | 1     | 1.5       | 0     | 0    |
      | 10   | 5.8   | 1         | 0     | 5    |

  Scenario Outline: Half of the instances have an old entry
    Guards against instances that send as to a warm upstream, since the
    registry told others first.
    Given <count> instances with demand for an upstream that takes 5 a second while it is cold, 1.5 times and 5 more at most
    When it starts again at 4 s, and half of them read nothing of it
    Then in no second it gets more than its bound
    And it gets at least 0.9 of its cold rate from 9 s on

    Examples:
      | count |
      | 7     |
      | 62    |
      | 80    |
      | 195   |
      | 300   |

  Scenario Outline: Twenty upstreams come back at once
    Guards against a herd at the first one that is warm, and against load that
    stays where it was.
    When <warm> of <count> upstreams of a pool are warm and the others cold
    Then each cold one may get the requests of a warm one, or all if none is warm
    And one that was cold until just before may get its share only

    Examples:
      | count | warm |
      | 60    | 40   |
      | 60    | 1    |
      | 20    | 0    |
