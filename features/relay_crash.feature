Feature: Prompt parts that crash engines
  Guards against requests that crash one engine after the other, against sound
  requests that are refused since they were at an engine that crashed, and
  against a part that stays refused after it has become sound.

  Scenario Outline: Requests with a part that crashes engines stop reaching them
    Guards against a crash that is held against the engine alone, so that the
    next request with the same part crashes the next one (BUDGET, inc-budget).
    Given <instances> relay instances with <engines> engines
    When <rate> requests a second come for 20 s on the route <route>, and from 4 s on a share of <share> has a part that crashes engines
    Then at most 3 requests with the part reach engines later than 3 s after the fifth crash
    And at least half of the sound requests from 6 s after the fifth crash are served

    Examples:
      | instances | engines | rate | share | route  |
      | 7         | 9       | 20   | 0.15  | stream |
      | 7         | 9       | 20   | 0.15  | resume |
      | 3         | 18      | 30   | 0.3   | stream |
      | 20        | 12      | 30   | 0.1   | stream |
