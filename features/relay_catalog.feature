Feature: Catalog of the upstreams that the registry lists
  Guards against work for upstreams that have left, and against the loss of
  running upstreams whose entries lapsed while the registry was unreachable.

  Scenario: A removed upstream gets no work
    Given the registry lists a, b
    When the registry removes a at 1
    Then b may receive work

  Scenario: A leaving upstream gets no work
    Given the registry lists a, b
    When the registry says that a is leaving
    Then b may receive work

  Scenario: Entries that lapse during an outage are kept for a time
    Given the registry lists a, b
    And the registry is unreachable from 1 to 5
    When the registry removes a, b at 5.1
    Then a, b may receive work
    When the registry lists a again at 6
    And the time is 6.9 s
    Then a, b may receive work
    When the time is 8 s
    Then a may receive work

  Scenario: A removal is kept back no longer than until all are in touch
    Guards against work for a removed upstream later than 3 s after an instance
    reaches the registry again, however late it finds that (inc-late-removal).
    Given the registry lists a, b
    And the registry is unreachable from 1 to 5.9
    When the registry removes a at 5.9
    And the time is 7.9 s
    Then a, b may receive work
    When the time is 7.96 s
    Then b may receive work

  Scenario: A removal takes effect at once though a watch has ended
    Guards against a dead connection that is taken for an outage, after which
    removals were put off (inc-late-removal).
    Given the registry lists a, b, c
    When a full listing names b, c at 5 after a watch that ended
    Then b, c may receive work

  Scenario: Most entries lapse in an outage that no call has met
    Guards against running upstreams that are dropped after a short outage of
    which only a dead connection is left.
    Given the registry lists a, b, c
    When a full listing names c at 5 after a watch that ended
    Then a, b, c may receive work
    When the time is 7.1 s
    Then a, b, c may receive work
    When the time is 7.3 s
    Then c may receive work

  Scenario: A removal long after an outage takes effect at once
    Given the registry lists a, b
    And the registry is unreachable from 1 to 5
    When the registry removes a at 9
    Then b may receive work

  Scenario: An older entry does not replace a newer one
    Given the registry lists a, b
    When the registry says that a is leaving
    And an older entry says that a is ready
    Then b may receive work

  Scenario: A full listing removes the upstreams that it lacks
    Given the registry lists a, b
    When a full listing names b at 1
    Then b may receive work

  Scenario: A restart under the same name is another upstream
    Given the registry lists a
    When a starts again under its name
    Then a has a new identity
