Feature: Upstreams that name a rate limit, on the JSON interface
  Guards against the cause of inc-rate-limit on the product's own interface.

  Scenario Outline: An upstream of the JSON interface names a limit
    Guards against calls, load reports and reads of cache events beyond the
    limit that an upstream has named.
    Given entry instances whose upstreams may ask for a pause
    When <rate> requests a second come for 12 s on the pipeline <pipeline>, and <name> has from 2 s on a limit of <limit> a second
    Then <name> gets in 4 s no more than its limit and 5 calls
    And at least 99 in 100 requests are served

    Examples:
      | pipeline | name       | rate | limit |
      | embed    | encoder-1  | 120  | 1     |
      | embed    | encoder-1  | 120  | 0     |
      | pay      | payments-1 | 20   | 2     |
      | ask      | engines-1  | 10   | 1     |

  Scenario: All upstreams of a pool of the JSON interface name a limit
    Guards against calls beyond the limits when there is no other upstream,
    against capacity that nobody uses, and against requests that are held.
    Given entry instances whose upstreams may ask for a pause
    When 120 requests a second come for 14 s on the pipeline embed, and the pool encoder has from 2 s on limits of 5 a second
    Then each gets in 4 s no more than its limit and 5 calls
    And each gets calls for at least 0.9 of its limit from 6 s on
    And requests that are refused have not run, and are refused within 50 ms

  Scenario: A limit of the JSON interface ends
    Guards against a limit that is kept after it has ended.
    Given entry instances whose upstreams may ask for a pause
    When 120 requests a second come for 14 s on the pipeline embed, and the pool encoder has from 2 to 8 s limits of 5 a second
    Then at least 115 submissions a second are served from 11 s on
