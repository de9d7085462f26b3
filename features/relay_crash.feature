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

  Scenario: A request with a quarantined part is refused at once
    Guards against a refusal that comes late or is false, and against stages
    that are executed for a request which no engine will get.
    Given 3 relay instances with 9 engines
    And the part dead is quarantined since engines crashed on it
    When a caller sends a staged request with the part dead
    Then it is refused within 50 ms with 503, prompt_quarantined and not_run
    And neither a stage nor an engine got it

  Scenario: A request at an engine is withdrawn when its part is quarantined
    Guards against a crash by a request that was sent before the part was
    known, and against a refusal that says it has not run.
    Given 3 relay instances with 9 engines
    When 3 requests with the part dead are sent, after 0.5 and 0.25 s
    Then 2 engines crashed
    And the last one is refused with 502, upstream_failed and may_have_run

  Scenario: Connections of an engine that lives are reset
    Guards against a part that is quarantined since an engine fails some
    requests, or connections to it are reset.
    Given 1 relay instances with 3 engines
    When 40 requests a second come for 20 s, and one in ten has a part whose requests are reset
    Then no instance quarantines a part

  Scenario: Connections end since nothing on them was acknowledged
    Guards against a part that is quarantined since a partition lies between an
    instance and the engines that have requests with it.
    Given 1 relay instances with 9 engines
    When 20 requests a second come for 10 s, and one in ten has a part whose connections time out
    Then no instance quarantines a part

  Scenario Outline: A refusal has a Retry-After only if a return may help
    Guards against callers that come back before the trial that may show a part
    to be sound, or after it has failed.
    Given 3 relay instances with 9 engines
    And the part dead is quarantined since engines crashed on it
    When a caller that waits <wait> s sends the part <after> s after the last crash, <trial> a trial
    Then its refusal has <header>

    Examples:
      | wait | after | trial   | header           |
      | 12   | 4.0   | before  | a Retry-After    |
      | 3    | 2.0   | before  | no Retry-After   |
      | 12   | 7.0   | after   | no Retry-After   |

  Scenario: Requests that a leaving engine breaks off
    Guards against a part that is quarantined since engines end as planned.
    Given 1 relay instances with 9 engines
    When requests with the part late are at engines that are leaving and end
    Then no instance quarantines a part

  Scenario Outline: A part that engines no longer crash on is served again
    Guards against a part that is refused for good, and against several trials
    at once while it may still crash engines.
    Given <instances> relay instances with 9 engines
    And the part dead is quarantined since engines crashed on it
    When engines no longer crash on it and a request with it comes each 0.5 s for 12 s
    Then all requests with it sent later than 8 s after the last crash are served
    And one request with it was sent as a trial

    Examples:
      | instances |
      | 3         |
      | 7         |

  Scenario: An engine that crashed is used once it is back
    Guards against an engine that stays unused after its restart, since it is
    listed under the name that failed many times before.
    Given 1 relay instances with 1 engines
    When the engine crashes 5 times under requests, each time as soon as it is back
    Then it is available 0.3 s after its last return

  Scenario: A trial is granted on one instance's word
    Guards against one trial for each instance of the fleet, each of which
    crashes an engine.
    Given 7 relay instances with 9 engines
    And the part dead is quarantined since engines crashed on it
    When 70 requests with it come at all instances 6 s after the last crash
    Then one of them reached an engine, which crashed
