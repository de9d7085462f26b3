Feature: Upstreams that answer a request twice
  Guards against an answer that is taken for the answer to another sending of
  the same request (inc-second-answer): the id of the request is the same.

  Scenario Outline: A request is sent again to an upstream that answers twice
    Guards against the second answer to one sending of a request that is taken
    for the answer to the next: the caller gets a success where the upstream had
    refused, or a refusal that says not run for a request that runs.
    Given an upstream of <kind> requests alone, which answers <answers>
    When its caller sends a <kind> request
    Then the caller gets <status>, the answer to the last sending
    And a request that was refused has not run

    Examples:
      | kind   | answers                  | status |
      | unsafe | 503 twice, 200, 503      | 200    |
      | unsafe | 503, 503, 503 twice, 200 | 200    |
      | unsafe | 429 twice, 200, 503      | 200    |
      | unsafe | 421 twice, 200, 503      | 200    |
      | unsafe | 503 twice, 500, 200      | 500    |
      | safe   | 503 twice, 200, 503      | 200    |
      | safe   | 500 twice, 200, 503      | 200    |
      | stream | 503 twice, 200, 503      | 200    |
      | stream | 503, 503, 503 twice, 200 | 200    |
      | resume | 503 twice, 200, 503      | 200    |
      | staged | 409 twice, 200, 503      | 200    |

  Scenario Outline: More bytes come together with an answer
    Guards against a request that is sent on a connection with bytes still
    unread, of which it is known that they are no answer to it.
    Given an upstream of unsafe requests alone, which answers 200
    And <what> follows its first answer in the same segment
    When 3 callers send unsafe requests one after the other
    Then each caller gets the answer to its request

    Examples:
      | what                   |
      | the answer again       |
      | bytes that are no HTTP |
      | a part of an answer    |

  Scenario Outline: A late second answer comes before the true one
    Guards against an answer that is thrown away, since the second answer to an
    earlier request came before it: an unsafe request gets 502 and has run.
    Given an upstream of <kind> requests alone, which answers <answers>
    When 3 callers send <kind> requests one after the other
    Then each caller gets the answer to its request
    And <connections> connections to the upstream were opened

    Examples:
      | kind   | answers            | connections |
      | unsafe | 200 twice, 200     | 1           |
      | unsafe | 500 twice, 200     | 1           |
      | unsafe | 200 twice          | 1           |
      | safe   | 200 twice, 200     | 1           |
      | stream | 200 twice, 200     | 1           |
