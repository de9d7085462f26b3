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
