Feature: applespring-check published
  Operators check a configuration of the platform before it is used. Guards
  against explanations that differ from what instances decide.

  Background:
    Given a saved configuration of the platform

  Scenario Outline: The route, account and pools of a request are explained
    Guards against an explanation that names another route, account or pool
    than an instance would choose.
    When the saved configuration is checked with request "<request>" and key "<key>"
    Then applespring-check exits with 0
    And its output has "<words>"

    Examples:
      | request                               | key | words                                                     |
      | POST pule25.example/puxa400/x?a=1     | k1  | route "r-1": pule25.example/puxa400/, streaming           |
      | POST PULE25.example:80/puxa400/deep/x | k1  | route "r-2"                                               |
      | POST pule25.example/puxa400/x         | k1  | account "bozi300": priority 1, its own                    |
      | POST pule25.example/puxa400/x         | k1  | stage 0: pool "kafi81c", results of 3e+06 bytes           |
      | POST pule25.example/puxa400/x         | k1  | decision: forwarded to pool "huvo11a" (100%)              |
      | POST pule25.example/puxa400/x         | k2  | decision: refused with 401 unknown_key                    |
      | POST pule25.example/puxa4001/x        | k1  | decision: refused with 404 unknown_route                  |
      | POST another.example/puxa400/x        | k1  | decision: refused with 404 unknown_route                  |

  Scenario: The explanation of a request if no account holds a key
    Guards against an explanation by which anyone would be let in.
    Given a saved configuration whose accounts hold no key
    When the saved configuration is checked with request "POST pule25.example/puxa400/x" and key "k1"
    Then applespring-check exits with 0
    And its output has "decision: refused with 401 unknown_key"

  Scenario: A request without a method is wrong usage
    Guards against an explanation of another request than the operator meant.
    When the saved configuration is checked with request "pule25.example" and key "k1"
    Then applespring-check exits with 2

  Scenario: Every fault is printed
    Guards against a check that stops at the first fault.
    Given a saved configuration with faults
    When the saved configuration is checked with request "" and key ""
    Then applespring-check exits with 1
    And applespring-check prints errors with
      """
      route "r-1": pool "gone" does not exist
      route "r-1": stage 0: pool "huvo11a" executes no stages
      route "r-1": stage 0: follows stage 0, which is not earlier
      route "r-2": the target of 20 s is after the timeout of 12 s
      route "r-2": stage 0: a result of 9e+07 bytes exceeds the memory of "kafi81c" (2.8e+07 bytes)
      route "r-3": prefix "/x" lacks a slash at an end
      route "r-4": its targets have no weight
      route "r-4": stages are executed for streams only
      2 routes serve pule25.example/puxa400/; the first one is used
      """

  Scenario: A file that is not a configuration is reported as malformed
    Guards against a configuration that is reported as valid without its parts.
    Given a saved file with {"version": 1}
    When the saved configuration is checked with request "" and key ""
    Then applespring-check exits with 1
    And applespring-check prints errors with
      """
      the configuration is malformed: routes is missing or null; allowed: a list, each an object
      """
