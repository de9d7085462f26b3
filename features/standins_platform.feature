Feature: Stand-in for the platform
  Guards against tests that pass only because the simulated platform lacks the
  limits, delays and faults of the real one.

  Scenario: A watch answers a change at once
    Guards against a watch that polls, whose delay would be taken for a slow
    propagation in the system.
    Given a platform with the document "a = 1"
    When a watch after revision 1 waits 30 s and "a = 2" appears after 7 s
    Then the watch answers revision 2 at 7 s

  Scenario: A watch ends after its wait when nothing is newer
    Guards against a watch that never ends or returns the known document.
    Given a platform with the document "a = 1"
    When a watch after revision 1 waits 30 s
    Then the answer is 304 at 30 s

  Scenario: Calls above the limit are answered 429
    Guards against a system that calls more often than the real platform
    allows.
    Given a platform that allows 3 calls a second
    When 5 reads come at once and 1 a second later
    Then the statuses are "200,200,200,429,429,200"

  Scenario: A stale platform serves an older revision
    Guards against tests of readers in which the revision never goes back.
    Given a platform with the document "a = 1"
    And the document "a = 2"
    And the platform faults {"staleness": 1}
    When the configuration is read
    Then the answer is revision 1 with "a = 1"

  Scenario: An outage resets waiting watches
    Guards against a watch that survives an outage in tests, as it would not in
    production.
    Given a platform with the document "a = 1"
    When a watch after revision 1 waits 30 s and an outage starts after 7 s
    Then the connection is reset at 7 s

  Scenario: The garbage fault replaces the document served
    Guards against a garbage fault that has no effect.
    Given a platform with the document "a = 1"
    And the platform faults {"garbage": true}
    When the configuration is read
    Then the answer is not "a = 1"

  Scenario: A change of the instance list is served after the lag
    Guards against tests in which every instance list is current.
    Given a platform with the document "a = 1"
    And the platform faults {"lag_s": 4}
    When a list watch waits 30 s and an instance appears after 7 s
    Then the list answers revision 1 at 11 s

  Scenario Outline: An invalid publication is refused
    Guards against tests with values that the real platform would not accept.
    Given a platform with the document "a = 1"
    When "<what>" is published
    Then the answer is <status>

    Examples:
      | what                     | status |
      | 1000001 bytes            | 413    |
      | an instance without name | 400    |
      | an unknown fault         | 400    |
