Feature: Rates that upstreams name as the most that they take
  Guards against requests beyond the limit that an upstream has named to all
  instances together (LIMIT, inc-rate-limit). Played without network.

  Scenario Outline: Values of the header
    Guards against limits that are misread, or ended, by values that are
    malformed, absurd or named twice.
    When an answer names the rate limits <values>
    Then it shows the limit <limit>, with <count> values rejected

    Examples:
      | values        | limit   | count |
      | none          | none    | 0     |
      | 1             | 1       | 0     |
      | 0.5           | 0.5     | 0     |
      | 0             | 0       | 0     |
      | -1            | unknown | 1     |
      | nan           | unknown | 1     |
      | inf           | unknown | 1     |
      | 1e300         | unknown | 1     |
      | x             | unknown | 1     |
      | 9999999999    | 1000000 | 1     |
      | 4 and 2       | 2       | 1     |
      | 3, 3          | 3       | 0     |
      | 2 and x       | 2       | 1     |

  Scenario Outline: Limits that change, end, or come late
    Guards against a limit that outlives its end or its upstream's start, and
    against answers in another order than they were made.
    When an upstream has named <history>
    Then its limit is <limit>

    Examples:
      | history                                       | limit |
      | 2 sent 0 read 1                               | 2     |
      | 2 sent 0 read 1, 1 sent 0 read 2              | 1     |
      | 1 sent 0 read 1, 2 sent 0 read 2              | 1     |
      | 1 sent 0 read 1, 2 sent 1.5 read 2            | 2     |
      | 1 sent 0 read 1, none sent 0.5 read 3         | 1     |
      | 1 sent 0 read 1, none sent 2 read 3           | none  |
      | 1 sent 0 read 1, none sent 2 read 3, 1 sent 0 read 4 | none |
      | 1 sent 0 read 1, none sent 2 read 3, 1 sent 5 read 6 | 1  |
      | 0 sent 0 read 1                               | 0.25  |
      | 2 sent 0 read 1, peer 1 named 0.8             | 2     |
      | 2 sent 0 read 1, peer none named 3            | none  |
      | peer 3 named 1                                | 3     |
      | peer none named 1                             | none  |

  Scenario: Limits are bounded in number
    Guards against memory that grows with the upstreams that have ever named a
    limit.
    When 5000 upstreams name a limit
    Then at most 2048 limits are held, those of listed upstreams among them

  Scenario Outline: The share of each instance
    Guards against shares that add up to more than the limit, also when all
    refill at once, and against a share that nobody uses since the demand is
    elsewhere or the limit is small against the fleet.
    Given <count> instances with demand <where> for an upstream with a limit of <limit> a second
    When they are played for <seconds> s
    Then in no 4 s it gets more than its limit and 5 requests
    And it gets at least 0.9 of its limit from 5 s on

    Examples:
      | count | where           | limit | seconds |
      | 1     | everywhere      | 0.5   | 65      |
      | 1     | everywhere      | 200   | 15      |
      | 7     | everywhere      | 0.5   | 65      |
      | 7     | at one instance | 1     | 45      |
      | 84    | everywhere      | 1     | 45      |
      | 84    | at one instance | 10    | 25      |
      | 84    | everywhere      | 200   | 15      |
      | 195   | everywhere      | 0.5   | 65      |
      | 195   | everywhere      | 25    | 25      |
      | 195   | at one instance | 200   | 15      |
      | 300   | everywhere      | 2     | 45      |
      | 300   | everywhere      | 200   | 15      |

  Scenario Outline: Members that change
    Guards against a share that two instances use at once after a change of
    members, and one that nobody takes over.
    Given <count> instances with demand everywhere for an upstream with a limit of <limit> a second
    When they are played for 60 s, and at 10 s <event>
    Then in no 4 s it gets more than its limit and 5 requests
    And it gets at least <share> of its limit from <since> s on

    Examples:
      | count | limit | event                          | share | since |
      | 7     | 1     | the granter is lost            | 0.77  | 13    |
      | 84    | 10    | the granter is lost            | 0.9   | 15    |
      | 195   | 25    | the granter is lost            | 0.9   | 15    |
      | 7     | 10    | the granter leaves             | 0.9   | 13    |
      | 84    | 10    | the granter leaves             | 0.9   | 17    |
      | 7     | 10    | the granter restarts           | 0.9   | 18    |
      | 195   | 10    | the granter restarts           | 0.9   | 20    |
      | 7     | 10    | 3 instances join               | 0.9   | 13    |
      | 84    | 50    | 30 instances join              | 0.9   | 17    |
      | 7     | 10    | the granter freezes for 6 s    | 0.9   | 20    |
      | 7     | 50    | the granter freezes for 6 s    | 0.9   | 20    |
      | 84    | 50    | the granter freezes for 6 s    | 0.9   | 24    |
      | 84    | 50    | the granter freezes for 0.9 s  | 0.9   | 12    |
      | 7     | 10    | a third is cut off for 40 s    | 0.9   | 16    |
      | 84    | 50    | a third is cut off for 40 s    | 0.9   | 18    |
      | 195   | 25    | half of them are cut off for 8 s | 0.9 | 26    |
      | 7     | 10    | all restart                    | 0.9   | 15    |
      | 84    | 10    | one instance restarts each second | 0.8 | 10   |
