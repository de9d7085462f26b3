Feature: How slow upstreams are
  Guards against a choice that keeps sending requests to an upstream that has
  become slow, avoids one for ever, or takes dear requests for a slow upstream.

  Scenario: A slowed upstream is seen at its first late answers
    Given an upstream that answers 20 requests a second in their expected time of 0.1 s
    When it takes 4 times as long from 10 s to 15 s
    Then it counts as at least 1.5 times slower at 10.5 s
    And it counts as at least 2.5 times slower at 11.0 s
    And it counts as at most 1.3 times slower at 17.0 s

  Scenario: Requests that do not end show a slow upstream
    Guards against a stopped upstream that looks well as it answers nothing.
    Given an upstream that answers 20 requests a second in their expected time of 0.1 s
    When it answers nothing from 10 s on
    Then it counts as at least 2.5 times slower at 11.0 s

  Scenario: An upstream without requests is tried again
    Guards against an upstream that is avoided for ever after it was slow.
    Given an upstream that answers 20 requests a second in their expected time of 0.1 s
    When it takes 4 times as long from 10 s to 11 s and then gets no requests
    Then it counts as at most 2 times slower at 13.0 s

  Scenario: Dear requests are no sign of a slow upstream
    Given an upstream that answers 20 requests a second in their expected time of 0.1 s
    When its requests take 8 times as long as before, as was expected of them
    Then it counts as at most 1.05 times slower at 11.0 s
    And it counts as at least 0.95 times slower at 11.0 s

  Scenario: An upstream's own word counts at once and not for long
    Given an upstream that answers 20 requests a second in their expected time of 0.1 s
    When it reports 300 percent at 10.0 s
    Then it counts as at least 2.8 times slower at 10.0 s
    And it counts as at most 1.1 times slower at 11.0 s

  Scenario: Another start of an upstream is not known
    Given an upstream that answers 20 requests a second in their expected time of 0.1 s
    When it takes 4 times as long from 10 s to 15 s
    Then another start of it counts as exactly 1 times slower at 15.0 s

  Scenario Outline: Whether the upstreams of a pool differ in speed
    Guards against upstreams that seem to differ by the spread of the requests.
    Given 30 upstreams of speeds <speeds> that answered 40 requests each with costs of a spread of 1 to 10
    Then their spread is at least <least> and at most <most>

    Examples:
      | speeds  | least | most |
      | equal   | 0     | 0.2  |
      | 1 and 2 | 0.25  | 0.6  |

  Scenario: Upstreams are bounded in number
    When 5000 upstreams answer a request
    Then at most 2048 of them are remembered

  Scenario Outline: Values of a load
    Guards against a malformed load that ends a read or counts as a slow
    upstream, and against a later figure that is taken for an error.
    When an answer names the load "<value>"
    Then the load is <load>, with <rejected> values rejected

    Examples:
      | value              | load           | rejected |
      | 3,2,6,150          | 3, 2, 6 at 150 | 0        |
      | 3, 2, 6, 99.5      | 3, 2, 6 at 99.5 | 0       |
      | 3,2,6              | 3, 2, 6        | 0        |
      | 3,2,6,150,7        | 3, 2, 6 at 150 | 0        |
      | 3,2                | unknown        | 1        |
      | a,2,6,150          | unknown        | 1        |
      | -1,2,6,150         | unknown        | 1        |
      | 3,2,6,0            | unknown        | 1        |
      | 3,2,6,nan          | unknown        | 1        |
      | 3,2,6,1e9          | unknown        | 1        |
      | 3,2,99999999999,90 | unknown        | 1        |
      | 3,2,6,             | unknown        | 1        |

  Scenario: No load is no fault
    When an answer names no load
    Then the load is unknown, with 0 values rejected
