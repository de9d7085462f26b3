Feature: Processes: crash and pause
  Guards against a payment that is executed twice and against a false verdict.

  Scenario: An entry instance is killed with a payment in flight
    Guards against a second execution by the instance at which the caller
    retries.
    Given a process fleet with 2 instances in each failure domain
    And its "payments" processes are slow
    When a payment with a key of "entry-koper-1" is being executed
    And the process "entry-koper-1" is killed
    And the instance list drops "entry-koper-1"
    And the payment is sent again to "entry-izola-1" until it is refused as key_owner_gone
    Then its verdict is may_have_run and it was executed once

  Scenario: An entry instance is paused for longer than its lease
    Guards against a resumed instance that acts on outdated state: it must not
    execute a payment again, nor use an upstream that left during the pause.
    Given a process fleet with 2 instances in each failure domain
    And its "payments" processes are slow
    When a payment with a key of "entry-koper-1" is being executed
    And the process "entry-koper-1" gets SIGSTOP
    And another payment is sent to the process "entry-koper-1"
    And the instance list drops "entry-koper-1"
    And the process "payments-1" starts to leave
    And the payment is sent again to "entry-izola-1" until it is refused as key_owner_gone
    And its "payments" processes are fast
    And the process "entry-koper-1" gets SIGCONT
    Then every payment was executed at most once
    And the process "payments-1" got no work after it started to leave

  Scenario Outline: A wrong setting is refused
    Guards against a process that starts although a setting is invalid or
    unknown.
    When an entry process is started with "<flags>" and "<variable>"
    Then it ends with code 2 and names "<name>", "<value>" and "<allowed>"

    Examples:
      | flags               | variable                      | name                      | value | allowed    |
      | --listen-port 70000 |                               | --listen-port             | 70000 | 0 to 65535 |
      | --drain-limit-s 0   |                               | --drain-limit-s           | 0     | 1 to 3600  |
      | --log-level LOUD    |                               | --log-level               | LOUD  | DEBUG      |
      | --no-such-flag 1    |                               | --no-such-flag            |       | --platform |
      | --platform here     |                               | --platform                | here  | IP:port    |
      | --drain-grace-s 600 |                               | --drain-grace-s           | 600   | less than  |
      |                     | APPLESPRING_PEER_PORT=x       | APPLESPRING_PEER_PORT     | x     | 0 to 65535 |
      |                     | APPLESPRING_NO_SUCH_NAME=1    | APPLESPRING_NO_SUCH_NAME  | 1     | APPLESPRING_PLATFORM |
