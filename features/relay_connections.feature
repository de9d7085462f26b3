Feature: Callers' connections that rest between requests
  Guards against requests that are lost since their connection is closed while
  its caller may still use it.

  Scenario Outline: A connection is not closed while its caller may use it again
    Guards against a request that gets neither an answer nor a refusal beside a
    change of the configuration: the idle limit is raised, the server still
    closes the connection after the earlier limit, and the caller follows the
    new one (inc-lost).
    Given a relay whose callers may leave a connection idle for <first> s
    And a caller that got an answer
    When the idle limit changes to <second> s
    And the caller sends again as late as it may
    Then it gets an answer on the same connection

    Examples:
      | first | second |
      | 2     | 20     |
      | 2     | 2      |
      | 20    | 2      |
      | 10    | 10     |

  Scenario: A limit that an answer in progress states still holds
    Guards against a connection that is closed before the time that the head of
    its answer stated, since the limit was lowered before the answer ended.
    Given an idle limit of 20 s that is replaced by 2 s while answers take 12 s
    Then a connection that rests from 11 s on stays open for over 20 s
    And a connection that rests from 12 s on stays open for over 2 s
    And the answers state 2 s
