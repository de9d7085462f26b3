Feature: Results that belong to their call and are complete
  Guards against a result of another call and against a stream that is taken
  as complete with a token missing or duplicated.

  Scenario Outline: A result with another <field> is rejected
    Guards against an upstream that mixes up the results of two calls.
    When a result with another <field> is checked
    Then the result is rejected as <kind>

    Examples:
      | field      | kind      |
      | request_id | mismatch  |
      | stage      | mismatch  |
      | attempt    | mismatch  |
      | digest     | mismatch  |

  Scenario Outline: A token with another <field> is rejected
    Guards against a token of another generation in a stream.
    When a token with another <field> arrives in a stream
    Then the result is rejected as mismatch

    Examples:
      | field      |
      | request_id |
      | attempt    |

  Scenario Outline: The stream of tokens <tokens> ends as <end>
    Guards against tokens that are lost, duplicated or delivered out of order.
    When a stream delivers the tokens "<tokens>" and its end marker
    Then the stream is <end> with "<texts>"

    Examples:
      | tokens      | end       | texts   |
      | 0 1 2!      | complete  | 0 1 2   |
      | 0 2 1 3!    | complete  | 0 1 2 3 |
      | 0 1 1 2!    | complete  | 0 1 2   |
      | 0 1 2       | truncated | 0 1 2   |
      | 0 2!        | truncated | 0       |
      | 1 2!        | truncated |         |

  Scenario: Duplicate tokens are not held back as out-of-order ones
    Guards against duplicates that fill the bound for tokens held back.
    When a stream delivers 70 tokens twice each and its end marker
    Then the stream is complete with 70 tokens
