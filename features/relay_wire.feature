Feature: Answers on the wire
  Guards against answers that are cut short and look complete, complete ones
  that are taken for cut short, and bytes without end that occupy memory or a
  caller's time.

  Scenario Outline: A plain answer that ends with its connection
    Guards against an answer without length or chunks that is refused, or that
    is taken for complete though its connection was reset.
    Given upstream a sends a plain answer without length or chunks and then <end>
    And upstream b answers
    When a caller sends a <kind> request on the wire
    Then it gets <status> with "<body>"

    Examples:
      | end   | kind   | status | body    |
      | close | unsafe | 200    | whole   |
      | close | safe   | 200    | whole   |
      | reset | unsafe | 502    |         |
      | reset | safe   | 200    | other   |

  Scenario Outline: A stream that ends with its connection
    Guards against a stream without chunks that is cut off since it has no mark
    of its end, and one that looks complete though it ended inside an event, or
    before the first one.
    Given engine a sends a stream without chunks: <sent>
    And engine b sends the events <next> to 4 in chunks
    When a caller sends a <kind> request on the wire
    Then the caller gets the events 1 to <last> and <end>

    Examples:
      | sent                       | next | kind   | last | end    |
      | events 1 to 4, close       | 1    | stream | 4    | an end |
      | events 1 to 4, close       | 1    | resume | 4    | an end |
      | events 1 to 2, half, close | 3    | stream | 2    | no end |
      | events 1 to 2, half, close | 3    | resume | 4    | an end |
      | events 1 to 2, reset       | 3    | stream | 2    | no end |
      | events 1 to 2, reset       | 3    | resume | 4    | an end |
      | half, close                | 1    | stream | 0    | no end |
      | half, close                | 1    | resume | 4    | an end |
      | close                      | 1    | stream | 0    | no end |
      | close                      | 1    | resume | 4    | an end |

