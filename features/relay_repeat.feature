Feature: Requests that crash each upstream that runs them
  Guards against a request that comes again and again and crashes one upstream
  after the other, and against sound requests that are refused because of it.

  Scenario: A request that crashes upstreams behind a proxy
    Guards against crashes that go unnoticed since a proxy, or another start of
    the upstream, accepts connections at its address.
    Given 7 relay instances with 9 engines and 3 services
    And their addresses accept connections while they are down
    When 6 sound requests a second come for 40 s on the route safe, and from 4 s on each 5 s one that crashes its upstream
    Then at most 3 arrivals of that request follow later than 3 s after its third crash
    And at least half of the sound requests from 6 s after its third crash are served

  Scenario: Sound requests that are reset again and again
    Guards against a request that is refused since upstreams reset the
    connections of many requests, and live.
    Given 7 relay instances with 9 engines and 3 services
    When 40 sound requests a second come for 30 s on the route safe, and one in three comes again and is reset
    Then no request is refused because of a crash

  Scenario Outline: Ordinary crashes beside a request that comes again and again
    Guards against a sound request that is refused since it was at upstreams
    that crash for another reason.
    Given <instances> relay instances with 9 engines and <services> services
    When 40 requests a second come for 30 s on the route <route>, most of them the same one, and upstreams crash every <gap> s
    Then no request is refused because of a crash

    Examples:
      | instances | services | route  | gap |
      | 7         | 3        | safe   | 4   |
      | 7         | 3        | unsafe | 4   |
      | 20        | 12       | safe   | 1   |
      | 7         | 3        | resume | 2   |

  Scenario: Sound requests that share prompt parts with one that crashes engines
    Guards against crashes of engines that are held against shared parts, since
    an answer of a stage has cleared the request itself.
    Given 7 relay instances with 9 engines and 3 services
    When 5 sound requests a second come for 40 s on the route staged-resume, and from 4 s on each 5 s one that crashes its engine
    Then no sound request is refused because of its prompt

  Scenario Outline: A request that crashes upstreams stops reaching them
    Guards against a crash that is held against the upstream alone, so that the
    same request crashes the next one when it comes again, at any instance
    (BUDGET, inc-repeated-request).
    Given <instances> relay instances with <engines> engines and <services> services
    When <rate> sound requests a second come for 40 s on the route <route>, and from 4 s on each <gap> s one that crashes its <place>
    Then at most 3 arrivals of that request follow later than 3 s after its third crash
    And at least half of the sound requests from 6 s after its third crash are served

    Examples:
      | instances | engines | services | rate | gap | route         | place    |
      | 7         | 9       | 3        | 6    | 5   | safe          | upstream |
      | 7         | 9       | 3        | 6    | 2   | unsafe        | upstream |
      | 7         | 9       | 3        | 40   | 1   | safe          | upstream |
      | 20        | 9       | 6        | 40   | 2   | safe          | upstream |
      | 7         | 9       | 3        | 20   | 3   | stream        | engine   |
      | 7         | 9       | 3        | 20   | 5   | resume        | engine   |
      | 7         | 9       | 3        | 5    | 4   | staged        | stage    |
      | 7         | 9       | 3        | 5    | 4   | staged-resume | stage    |
      | 7         | 9       | 3        | 5    | 5   | staged-resume | engine   |
