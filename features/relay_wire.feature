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

  Scenario Outline: An answer without a mark of its end while the body is written
    Guards against an early answer that was cut and looks complete: the error of
    the reset was reported to the writer, and the reader sees an ordinary end.
    Given upstream a sends a plain answer without length or chunks and then close
    And upstream b answers
    And the connection to a fails while a body is written
    When a caller sends a <kind> request on the wire
    Then it gets <status> with "<body>"

    Examples:
      | kind   | status | body  |
      | unsafe | 502    |       |
      | safe   | 200    | other |

  Scenario Outline: A stream without a mark of its end while the body is written
    Guards against the same on routes with streams.
    Given engine a sends a stream without chunks: events 1 to 2, close
    And engine b sends the events 3 to 4 in chunks
    And the connection to a fails while a body is written
    When a caller sends a <kind> request on the wire
    Then the caller gets the events 1 to <last> and <end>

    Examples:
      | kind   | last | end    |
      | stream | 2    | no end |
      | resume | 4    | an end |

  Scenario Outline: An early answer to another call
    Guards against the same for calls whose answers are read by the instance.
    Given an upstream that answers early and without a length
    When <target> is called with a body
    Then the call fails as truncated

    Examples:
      | target      |
      | /stage-run  |
      | /stage-free |
      | /other      |

  Scenario: An early answer with its length is complete
    Guards against whole answers that are thrown away, since the upstream did
    not read all of the body.
    Given upstream b answers
    And the connection to b fails while a body is written
    When a caller sends a unsafe request on the wire
    Then it gets 200 with "other"

  Scenario Outline: An answer of no valid status
    Guards against bytes that are no answer in the protocol, which a caller gets
    as one.
    Given upstream a sends a signed answer with the status <status>
    And upstream b answers on the <kind> route
    When a caller sends a <kind> request on the wire
    Then it gets <result> within 1000 ms

    Examples:
      | status | kind   | result |
      | 000    | unsafe | 502    |
      | 099    | unsafe | 502    |
      | 101    | unsafe | 502    |
      | 600    | unsafe | 502    |
      | 999    | unsafe | 502    |
      | 000    | safe   | other  |
      | 999    | safe   | other  |
      | 000    | stream | 502    |
      | 999    | stream | 502    |
      | 000    | resume | events |
      | 999    | resume | events |

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

  Scenario Outline: Bytes without end from an upstream
    Guards against a caller that waits for an answer which never ends, a
    connection that stays open, and memory that fills.
    Given upstream a sends <what> without end
    And upstream b answers on the <kind> route
    When a caller sends a <kind> request on the wire
    Then it gets <result> within <wait> ms
    And the connections to a are closed after at most <bytes> bytes

    Examples:
      | what                        | kind   | result | wait | bytes   |
      | fast bytes in a head        | unsafe | 502    | 1000 | 300000  |
      | fast header lines           | unsafe | 502    | 1000 | 300000  |
      | slow bytes in a head        | unsafe | 504    | 1000 | 300000  |
      | slow bytes in a head        | safe   | other  | 700  | 300000  |
      | slow interim answers        | unsafe | 504    | 1000 | 300000  |
      | fast bytes in a body        | unsafe | 502    | 1000 | 9000000 |
      | slow bytes in a body        | unsafe | 504    | 1000 | 300000  |
      | a refusal with a slow body  | unsafe | other  | 700  | 300000  |
      | a refusal with a slow body  | stream | events | 700  | 300000  |
      | fast bytes in a head        | resume | events | 500  | 300000  |
      | slow bytes in a head        | stream | 504    | 5200 | 300000  |
      | slow bytes in a head        | resume | events | 5200 | 300000  |
      | fast bytes of no event      | stream | 502    | 1000 | 2000000 |
      | fast bytes of no event      | resume | events | 1000 | 2000000 |
      | slow bytes of no event      | resume | events | 5200 | 300000  |

  Scenario Outline: Bytes without end from an engine that has begun a stream
    Guards against bytes that are no event and count as progress of the engine.
    Given upstream a sends the events 1 to 2 and <what> without end
    And engine b sends the events 3 to 4 in chunks
    When a caller sends a resume request on the wire
    Then the caller gets the events 1 to 4 and an end
    And the connections to a are closed after at most <bytes> bytes
    And no engine counts as crashed

    Examples:
      | what                   | bytes   |
      | fast bytes of no event | 2000000 |
      | slow bytes of no event | 300000  |

  Scenario Outline: Bytes without end from the store
    Guards against an instance that waits for an answer of the store for ever and
    learns of no more changes.
    Given a store that sends <what> without end
    When it is read
    Then the read fails within <wait> ms and <bytes> bytes

    Examples:
      | what                 | wait | bytes    |
      | fast bytes in a head | 4100 | 300000   |
      | slow bytes in a head | 4100 | 300000   |
      | fast bytes in a body | 4100 | 17000000 |
      | slow bytes in a body | 4100 | 300000   |

  Scenario Outline: A store answer that ends with its connection
    Given a store whose answer has no length and ends with <end>
    When it is read
    Then the read <result>

    Examples:
      | end             | result   |
      | close           | succeeds |
      | half and close  | fails    |
      | reset           | fails    |

  Scenario Outline: A store answer of another form
    Guards against an answer that ends the watch, and the instance with it.
    Given a store whose answer is the JSON <text>
    When it is <way>
    Then the read fails

    Examples:
      | way     | text                                      |
      | read    | {"items": []}                             |
      | read    | {"at": "5", "items": []}                  |
      | read    | {"at": true, "items": []}                 |
      | read    | {"at": -5, "items": []}                   |
      | read    | {"at": 5, "items": {"key": "a"}}          |
      | read    | {"at": 5, "items": [3]}                   |
      | read    | {"at": 5, "items": [{}], "hasMore": true} |
      | watched | {"at": null, "events": []}                |
      | watched | {"at": [5], "events": []}                 |
      | watched | {"at": 5, "events": "abc"}                |
      | watched | {"at": 5, "events": [null]}               |

  Scenario Outline: A store answer of no valid status
    Guards against a document or a list that an answer of none has.
    Given a store that answers with the status <status>
    When it is read
    Then the read fails

    Examples:
      | status |
      | 000    |
      | 101    |
      | 204    |
      | 600    |
      | 999    |

  Scenario Outline: A load report of the JSON interface of no valid status
    Guards against a load, and a notice, that an answer of none has.
    Given a worker that reports its load with the status <status>
    When its load is read
    Then the read fails
    And nothing of the answer counts

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: Bytes without end to a load report of the JSON interface
    Guards against a probe that lasts for ever and memory that fills.
    Given a worker that sends <what> without end
    When its load is read
    Then the read fails within 2000 ms and 400000 bytes

    Examples:
      | what                 |
      | fast bytes in a head |
      | slow bytes in a head |
      | fast bytes in a body |
      | slow bytes in a body |
