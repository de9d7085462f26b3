Feature: Stand-ins as processes
  Guards against faults that the in-process tests of the stand-ins cannot show:
  sockets, signals and exit codes.

  Scenario Outline: A stand-in prints its port and ends cleanly on SIGTERM
    Guards against a test run that hangs at its end or leaves processes behind.
    Given the process "standins.<module>"
    When it answers "<path>" and gets SIGTERM
    Then it ends with code 0 and logs nothing

    Examples:
      | module   | path              |
      | platform | /admin/calls      |
      | engine   | /admin/executions |
      | service  | /admin/executions |

  Scenario: A waiting watch does not delay the end of the process
    Guards against a shutdown that waits until the longest watch ends.
    Given the process "standins.platform"
    When a watch of 60 s is waiting and it gets SIGTERM
    Then the watch ends with 304
    And it ends with code 0 and logs nothing

  Scenario Outline: A reset breaks the TCP connection
    Guards against a reset fault that callers receive as an HTTP answer.
    Given the process "standins.service"
    When the fault {"kind": "reset", "when": "<when>"} meets a call
    Then the caller sees a broken connection
    And after SIGTERM it ends with code 0 and logs nothing

    Examples:
      | when        |
      | before_read |
      | after_read  |
      | after_run   |

  Scenario Outline: Every program prints its version
    Guards against a parameter of a program that replaces the flag --version.
    When "<module>" is run with --version
    Then it prints the version of applespring

    Examples:
      | module                |
      | standins.platform     |
      | standins.engine       |
      | standins.service      |
      | applespring.load.main |
