Feature: The operators' page is complete
  Guards against a setting, reason, condition or action that an operator meets
  and cannot look up.

  Scenario: Every setting of the entry instance with its range and default
    Then docs/OPERATIONS.md lists every flag of applespring-entry with its default
    And docs/OPERATIONS.md states the bounds of every number in the flags

  Scenario: Every reason code with its status and whether it counts
    Then docs/OPERATIONS.md lists every reason code with its status
    And docs/OPERATIONS.md says for every reason code whether it counts

  Scenario: Every condition and every action of rules
    Then docs/OPERATIONS.md lists exactly the conditions and actions of rules

  Scenario: The fixed words are explained
    Then docs/glossary.md explains "instance, failure domain, client account, upstream"

  Scenario: The document of the first steps is valid and does what is said
    Then "examples/first.toml" is valid and rule "short-when-busy" decides with "language-model" busy
