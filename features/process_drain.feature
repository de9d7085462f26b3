Feature: Processes: shutdown
  Guards against a shutdown of a real process that truncates an answer.

  Scenario Outline: SIGTERM with <protocol> streams in flight
    Guards against a server library that closes connections in use, against
    a refused connection instead of a not_run refusal, and against a second
    signal that ends the process at once.
    Given a process fleet with 1 instances in each failure domain
    And its "language-model" processes freeze at token 5
    When 4 streams over <protocol> to "entry-koper-1" have their first token
    And the process "entry-koper-1" gets SIGTERM
    And the process "entry-koper-1" refuses a <protocol> request as not run
    And the process "entry-koper-1" gets SIGTERM again
    And its "language-model" processes resume
    Then every call to a process was answered completely
    And the process "entry-koper-1" ends with code 0

    Examples:
      | protocol |
      | HTTP/1.1 |
      | HTTP/2   |

  Scenario: Connections are closed after their response while draining
    Guards against a draining instance that leaves a connection open, so that
    the caller's next request is lost when the instance closes it.
    Given a process fleet with 1 instances in each failure domain
    And its "language-model" processes freeze at token 5
    When 1 streams over HTTP/1.1 to "entry-koper-1" have their first token
    And the process "entry-koper-1" gets SIGTERM
    And the process "entry-koper-1" refuses a HTTP/1.1 request as not run
    Then its response closes the connection
    When its "language-model" processes resume
    Then every call to a process was answered completely

  Scenario: More than 1000 requests on one HTTP/2 connection
    Guards against a server library that closes a connection in use after a
    fixed number of requests.
    Given a process fleet with 1 instances in each failure domain
    And its "language-model" processes freeze at token 5
    When 1 streams over HTTP/2 to "entry-koper-1" have their first token
    And 1010 other requests use the same connection
    And its "language-model" processes resume
    Then every call to a process was answered completely

  Scenario: Every instance is restarted in turn under load
    Guards against a rolling restart that breaks off requests.
    Given a process fleet with 2 instances in each failure domain
    And a load through the processes that are ready
    When each entry process is restarted in turn
    Then no call of the load was broken off and the processes ended with code 0
    And the execution records of the processes show no violation
