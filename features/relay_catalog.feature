Feature: Upstreams that the registry lists
  Guards against work for upstreams that have left, and against losing living
  upstreams whose entries lapsed while the registry was away.

  Scenario: A removed upstream gets no work
    Given the registry lists a, b
    When the registry removes a at 1
    Then b may receive work

  Scenario: A leaving upstream gets no work
    Given the registry lists a, b
    When the registry says that a is leaving
    Then b may receive work

  Scenario: Entries that lapse during an outage are kept until they are back
    Given the registry lists a, b
    And the registry is away from 1 to 5
    When the registry removes a, b at 5.1
    Then a, b may receive work
    When the registry lists a again at 6
    And 8 s have passed
    Then a may receive work

  Scenario: A removal after the registry has settled counts at once
    Given the registry lists a, b
    And the registry is away from 1 to 5
    When the registry removes a at 9
    Then b may receive work

  Scenario: An older entry does not undo a newer one
    Given the registry lists a, b
    When the registry says that a is leaving
    And an older entry says that a is ready
    Then b may receive work

  Scenario: A whole reading drops what it does not name
    Given the registry lists a, b
    When a whole reading names b at 1
    Then b may receive work

  Scenario: A new start under the same name is another upstream
    Given the registry lists a
    When a starts again under its name
    Then a has a new identity
