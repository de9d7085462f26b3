Feature: Headers of callers that take far more than their bytes
  Guards against memory and time that a short header takes, and against names
  that are remembered when their request has ended. What a name or a number stands
  for is unchanged.

  Scenario Outline: A number that no request needs
    Guards against numbers that overflow, and fill estimates with nonsense.
    Given a request with "<header>"
    Then the decoded <field> is <value>

    Examples:
      | header                               | field       | value      |
      | Request-Deadline: 1500               | deadline_s  | 1.5        |
      | Request-Deadline: 99999999999999999  | deadline_s  | 1000000    |
      | Request-Deadline: 1e9 written out    | deadline_s  | 1000000    |
      | Request-Deadline: -5                 | deadline_s  | 0          |
      | Token-Count: 1460,80                 | tokens_in   | 1460       |
      | Token-Count: 99999999999999999999,80 | tokens_in   | 1000000000 |
      | Token-Count: -7,80                   | tokens_in   | 0          |
      | Token-Count: 7,99999999999999999999  | tokens_out  | 1000000000 |

  Scenario: A prompt part with a long name
    Guards against names of 15,000 bytes of which each engine keeps 4,000.
    Given requests whose prompt parts have names of 15000 bytes
    Then their parts have names of at most 64 characters
    And equal names stay equal, and different ones different

  Scenario: Ids that a connection to an upstream remembers
    Guards against 1,024 ids of 15,000 bytes on each connection.
    Given a connection that has carried 1000 ids of 15000 bytes
    Then it remembers at most 64000 characters
    And it knows which ids it has carried

  Scenario: A request with millions of pieces
    Guards against a header of 20 bytes for which the process makes millions of
    pieces.
    Given relay instances one with 2 stage upstreams and an engine
    When a request with 3000000 pieces is sent, and one with 2
    Then the first one is refused with 400 as not run
    And the other one is answered
