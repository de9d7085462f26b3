Feature: The operations manual is complete
  Guards against settings, reasons, conditions and actions that operators
  encounter but can't look up.

  Scenario: Every setting of the entry instance is listed with range and default
    Then docs/OPERATIONS.md lists every flag of applespring-entry with its default
    And docs/OPERATIONS.md states the bounds of every number in the flags

  Scenario: Every reason code is listed with its status and whether it counts
    A refusal counts against the objectives unless the caller or a rule caused
    it. Guards against a page that says otherwise.
    Then docs/OPERATIONS.md lists every reason code with its status
    And docs/OPERATIONS.md says for every reason code whether it counts

  Scenario: Every condition and every action of rules is listed
    Then docs/OPERATIONS.md lists exactly the conditions and actions of rules

  Scenario: The fixed terms are explained
    Then docs/glossary.md explains "instance, failure domain, client account, upstream"

  Scenario: The example of the first steps is valid and its rule applies
    Guards against a tutorial that fails when it is followed.
    Then "examples/first.toml" is valid and rule "short-when-busy" decides with "language-model" busy
