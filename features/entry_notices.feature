Feature: Upstreams that ask for a pause, on the JSON interface
  Guards against the cause of inc-leaving-and-rest on the product's own
  interface.

  Scenario Outline: A paused upstream of the JSON interface gets no calls
    Guards against calls, load reports and reads of cache events at an upstream
    that asked for a pause, and against a pause that counts as failures.
    Given entry instances whose upstreams may ask for a pause
    When <rate> requests a second come for 10 s on the pipeline <pipeline>, and <name> asks at 2 s for a pause of 4 s
    Then at most 2 calls reach an upstream in a pause that an instance was told of
    And <name> gets calls again within 1 s of the end of its pause
    And at least 99 in 100 requests are served

    Examples:
      | pipeline | name       | rate |
      | embed    | encoder-1  | 120  |
      | pay      | payments-1 | 20   |
      | ask      | engines-1  | 20   |

  Scenario: No control call to a paused engine
    Guards against reads of cache events and orders at an engine that asked for
    a pause, and against a pause that such a call was answered with.
    Given an engine that answers control calls with a pause of 4 s
    When its cache events are read twice and an order is sent
    Then one call has reached it

  Scenario: All upstreams of a pool of the JSON interface are paused
    Guards against requests that are held, or told to come back while all
    upstreams are still paused.
    Given entry instances whose upstreams may ask for a pause
    When all upstreams of the pool encoder ask for a pause of 4 s and 20 requests follow 1 s later on the pipeline embed
    Then these are refused within 50 ms, each to come back after the pause
