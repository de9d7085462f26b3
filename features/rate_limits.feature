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
      | 0 sent 0 read 1                               | 0.1   |
      | 2 sent 0 read 1, peer 1 named 0.8             | 2     |
      | 2 sent 0 read 1, peer none named 3            | none  |
      | peer 3 named 1                                | 3     |
      | peer none named 1                             | none  |

  Scenario: Limits are bounded in number
    Guards against memory that grows with the upstreams that have ever named a
    limit.
    When 5000 upstreams name a limit
    Then at most 2048 limits are held, those of listed upstreams among them
