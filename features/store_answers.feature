Feature: Answers of the store that belong to another call
  Guards against an answer to one read or watch that is taken for the answer to
  the next one on the same connection: upstreams would count as removed, or
  changes would be missed.

  Scenario Outline: A call that was given up is answered late
    Guards against a connection that is used again while an answer is due on it.
    Given a store that answers the first call after <answer> s
    When <call> is given up after <wait> s, and the store is read 2 s later
    Then that read gets its own answer
    And it was on another connection

    Examples:
      | call    | answer | wait |
      | a read  | 1.5    | 0.5  |
      | a read  | 1.5    | 9.0  |
      | a watch | 1.5    | 0.5  |
      | a watch | 1.9    | 9.0  |

  Scenario Outline: An answer that can't be the one to its call
    Guards against a watch that counts as an empty read, against changes that
    come again, and against a connection on which each call gets the answer to
    the call before.
    Given a store whose connection carries <answers>
    When <calls> are sent to it
    Then the second of them fails
    And a read after it gets its own answer
    And it was on another connection

    Examples:
      | calls                          | answers                     |
      | a read, then a watch           | a page, a page              |
      | a watch, then a read           | an event, an event          |
      | a watch, then a watch after it | an event, an event          |
      | a watch, then a watch after it | an event, an older revision |
