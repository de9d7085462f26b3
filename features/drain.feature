Feature: Drain
  Guards against a shutdown that cuts off a request in flight, that refuses
  requests the load balancer still sends, or that never ends.

  Scenario: New requests are served during the grace period only
    Given a drain with 2 s grace and a limit of 30 s
    When SIGTERM arrives at 10 s
    And a request arrives at 11.9 s and takes 1 s
    And a request arrives at 12.1 s and takes 1 s
    And the drain runs to its end
    Then the outcomes of the requests are "answered, refused not_run"
    And the drain ended at 12.9 s

  Scenario: Not ready as soon as the signal arrives, and leaving is announced
    Given a drain with 2 s grace and a limit of 30 s
    When SIGTERM arrives at 10 s
    And the drain runs to its end
    Then it was ready until 10 s
    And the drain callbacks ran as "leaving at 10, closing at 12, idle at 12"

  Scenario Outline: Work in flight runs to completion
    Given a drain with 2 s grace and a limit of 30 s
    When SIGTERM arrives at 10 s
    And a <kind> arrives at 9 s and takes 20 s
    And the drain runs to its end
    Then the outcomes of the requests are "answered"
    And the drain ended at 29 s

    Examples:
      | kind    |
      | request |
      | stream  |
      | forward |

  Scenario: A second signal does not cut off work in flight
    Given a drain with 2 s grace and a limit of 30 s
    When SIGTERM arrives at 10 s
    And SIGTERM arrives at 15 s
    And a stream arrives at 9 s and takes 20 s
    And the drain runs to its end
    Then the outcomes of the requests are "answered"
    And the drain callbacks ran as "leaving at 10, closing at 12, idle at 29"
    And 2 signals were counted

  Scenario: At the limit remaining work is refused with the verdict that applies to it
    Given a drain with 2 s grace and a limit of 30 s
    When SIGTERM arrives at 10 s
    And a request arrives at 9 s and takes 100 s with verdict "may_have_run"
    And a request arrives at 9 s and takes 100 s with verdict "not_run"
    And the drain runs to its end
    Then the outcomes of the requests are "refused may_have_run, refused not_run"
    And the drain ended at 40 s

  Scenario: Work that ignores its refusal does not keep the process running
    Given a drain with 2 s grace and a limit of 30 s
    When SIGTERM arrives at 10 s
    And a stream that ignores its refusal arrives at 9 s and takes 100 s
    And the drain runs to its end
    Then the drain ended at 41 s
    And 1 requests were abandoned

  Scenario: A failing callback does not stop the drain
    Given a drain with 2 s grace and a limit of 30 s
    And a leaving callback and an idle callback that fail
    When SIGTERM arrives at 10 s
    And the drain runs to its end
    Then the drain callbacks ran as "leaving at 10, closing at 12, idle at 12"

  Scenario: An idle callback that hangs does not keep the process running
    Given a drain with 2 s grace and a limit of 30 s
    And an idle callback that hangs
    When SIGTERM arrives at 10 s
    And the drain runs to its end
    Then the drain ended at 13 s

  Scenario Outline: A grace period as long as the limit is refused
    Then a drain with <grace> s grace and a limit of <limit> s is refused

    Examples:
      | grace | limit |
      | 30    | 30    |
      | -1    | 30    |
