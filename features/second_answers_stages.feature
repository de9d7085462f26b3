Feature: Stage upstreams that answer a request twice
  Guards against answers that are taken for those to other requests without an
  id: calls, releases and reports (inc-second-answer).

  Scenario Outline: The answer to a call comes again where the next one is due
    Guards against answers that are shifted by one on a connection: each call
    gets the results that were made for the call before it.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And <extras> times it sends the answer to a call where that to a call is due
    When 8 callers send staged requests with <counts> pieces over <seconds> s
    Then no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And it has sent <extras> second answers
    And at most <extras> of its calls fail
    And every caller gets an answer

    Examples:
      | extras | counts | seconds |
      | 1      | 4,0    | 2       |
      | 1      | 1,1    | 0.5     |
      | 1      | 2,2    | 2       |
      | 3      | 4,4    | 2       |

  Scenario: The answer to a call comes again where that to its repetition is due
    Guards against results of an earlier call for the same piece, which have been
    released, that are taken for those of the call made again.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And an engine that lacks a result 1 times
    And an engine that answers after 0.3 s
    And 1 times it sends the answer to a call where that to a call is due
    When 1 callers send staged requests with 2,0 pieces over 1 s
    Then no engine is given results that were released before
    And no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And its calls for one piece come on different connections
    And every caller gets an answer

  Scenario Outline: An answer with reasons alone comes again
    Guards against a second answer by which no call is recognized: it names no
    handle, and the next call takes the true answer that follows it for its own.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And its calls 1 and 4 give only the reason <reason>, in two answers each
    When 8 callers send staged requests with 4,4 pieces over 1 s
    Then no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And every caller gets an answer

    Examples:
      | reason |
      | error  |
      | room   |

  Scenario Outline: An answer to no call comes before the true one
    Guards against later answers on a connection that are believed after one
    that cannot be decoded.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And 1 times it sends <what> to a call where that to a call is due
    When 8 callers send staged requests with 4,0 pieces over 2 s
    Then no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And it has sent 1 second answers
    And at most 1 of its calls fail
    And every caller gets an answer

    Examples:
      | what                   |
      | a body that is no JSON |
      | an item too many       |
      | an empty list          |
      | a body of 300 kB       |
      | bytes that are no HTTP |

  Scenario Outline: Bytes follow the answer to a call before the next one is sent
    Guards against bytes that were read with an answer and are taken for the
    answer to the next call, which had not been sent.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And <what> follows the answer to its call 2 in the same segment
    When 8 callers send staged requests with 4,0 pieces over 2 s
    Then no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And at most 1 of its calls fail
    And every caller gets an answer

    Examples:
      | what                   |
      | the answer             |
      | a body that is no JSON |
      | an item too many       |
      | bytes that are no HTTP |

  Scenario Outline: An answer to a release or report comes where that to a call is due
    Guards against a call that takes the answer to a release or a report for its
    own, and the next call the true answer.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And results of another scheduler that fill <others> MB of it
    And 1 times it sends the answer to <earlier> where that to a call is due
    When 8 callers send staged requests with 4,4 pieces over 0.5 s
    Then no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And every caller gets an answer

    Examples:
      | earlier           | others |
      | a release         | 0      |
      | an earlier report | 10     |

  Scenario Outline: An earlier answer comes where that to a refused release is due
    Guards against a release that counts as done by the answer to another
    request: results are ordered for which the upstream has no memory.
    Given a stage upstream over HTTP that holds one result at a time
    And its releases 2 to 6 are refused with <status>
    And 3 times it sends the answer to <earlier> where that to a release is due
    When 8 callers send staged requests with 1,0 pieces over 2 s
    Then no call finds its memory full
    And every caller gets an answer

    Examples:
      | earlier           | status |
      | a call            | 503    |
      | a call            | 429    |
      | an earlier report | 503    |
      | an earlier report | 429    |

  Scenario Outline: The answer to a release comes again where that to a refused one is due
    Guards against results that stay unreleased. Answers to releases are alike;
    the refusal comes where the answer to the next release is due.
    Given a stage upstream over HTTP that holds one result at a time
    And its releases 2 to 6 are refused with <status>
    And 3 times it sends the answer to an earlier release where that to a release is due
    When 8 callers send staged requests with 1,0 pieces over 2 s
    Then all results of refused releases are released later
    And every caller gets an answer

    Examples:
      | status |
      | 503    |
      | 429    |

  Scenario Outline: A release is refused without a time to wait
    Guards against a refusal that counts as done, since it asks for no pause.
    Given a stage upstream over HTTP that holds one result at a time
    And its releases 1 to 2 are refused with <status>, without a time to wait
    When 4 callers send staged requests with 1,0 pieces over 1 s
    Then no call finds its memory full
    And every caller gets an answer

    Examples:
      | status |
      | 503    |
      | 429    |

  Scenario Outline: An earlier answer comes where that to a report is due
    Guards against free memory that is set to the figure of an earlier report.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And results of another scheduler that fill 10 MB of it
    And 3 times it sends the answer to <earlier> where that to a report is due
    When 8 callers send staged requests with 4,4 pieces over 2 s
    Then each figure that is set is that of the last report
    And no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And every caller gets an answer

    Examples:
      | earlier   |
      | a call    |
      | a release |
      | a report  |

  Scenario: The answer to a caller's request comes where that to a call is due
    Guards against an answer with the id of a caller's request, which the
    upstream serves too, that is taken for the results of a call.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And its answers to callers look like those to calls and reports
    And 2 times it sends the answer to a request where that to a call is due
    When 8 callers send staged requests with 1,0 pieces, and more callers plain requests to it, over 4 s
    Then no engine and no call is given results of another request
    And no request is sent on a connection with an answer still to come
    And every caller gets an answer

  Scenario: The answer to a caller's request comes where that to a refused release is due
    Guards against a release that counts as done by the answer to a caller's
    request, which has an id.
    Given a stage upstream over HTTP that holds one result at a time
    And its releases 2 to 6 are refused with 503
    And 3 times it sends the answer to a request where that to a release is due
    When 8 callers send staged requests with 1,0 pieces, and more callers plain requests to it, over 4 s
    Then no call finds its memory full
    And every caller gets an answer

  Scenario: The answer to a caller's request comes where that to a report is due
    Guards against free memory that is set to a figure in the answer to a
    caller's request, which has an id.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And results of another scheduler that fill 10 MB of it
    And its answers to callers look like those to calls and reports
    And 3 times it sends the answer to a request where that to a report is due
    When 8 callers send staged requests with 1,0 pieces, and more callers plain requests to it, over 4 s
    Then each figure that is set is that of the last report
    And every caller gets an answer

  Scenario Outline: An answer without an id comes where that to a caller's request is due
    Guards against a caller that gets the answer to a call, release or report.
    Given a stage upstream over HTTP whose calls take 0.7 s
    And results of another scheduler that fill 10 MB of it
    And 3 times it sends the answer to <earlier> where that to a request is due
    When 8 callers send staged requests with 1,0 pieces, and more callers plain requests to it, over 4 s
    Then every plain caller gets the answer to its request or a failure
    And every caller gets an answer

    Examples:
      | earlier           |
      | an earlier call   |
      | a release         |
      | an earlier report |

  Scenario: The answer to a call comes again when its handles are forgotten
    Guards against a second answer that comes after more results than the record
    of handles holds.
    Given a stage upstream over HTTP with calls of 128 pieces
    And the answer to the first call on a connection comes again after 4500 pieces
    When 40 callers send staged requests with 128,0 pieces over 32 s
    Then no engine and no call is given results of another request
    And every caller gets an answer

  Scenario: Calls in a row use few connections
    Guards against a connection for each call of a sound upstream.
    Given a stage upstream over HTTP whose calls take 0.2 s
    When 40 callers send staged requests with 1,0 pieces over 20 s
    Then its 40 calls took at most 3 connections
    And every caller gets an answer
