Feature: Results that belong to their call and are whole
  Guards against a result of another call and against a stream that is taken
  as whole with a token missing or repeated.

  Scenario Outline: A result with another <field> is rejected
    When a result with another <field> is checked
    Then the result is rejected as <kind>

    Examples:
      | field      | kind      |
      | request_id | mismatch  |
      | stage      | mismatch  |
      | attempt    | mismatch  |
      | digest     | mismatch  |

  Scenario Outline: The stream of tokens <tokens> ends as <end>
    When a stream delivers the tokens "<tokens>" and its end marker
    Then the stream is <end> with "<texts>"

    Examples:
      | tokens      | end       | texts   |
      | 0 1 2!      | whole     | 0 1 2   |
      | 0 2 1 3!    | whole     | 0 1 2 3 |
      | 0 1 1 2!    | whole     | 0 1 2   |
      | 0 1 2       | truncated | 0 1 2   |
      | 0 2!        | truncated | 0       |
      | 1 2!        | truncated |         |

  Scenario: Repeated tokens are not held back as early ones
    When a stream delivers 70 tokens twice each and its end marker
    Then the stream is whole with 70 tokens
