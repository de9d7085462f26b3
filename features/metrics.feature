Feature: The metrics of an entry instance
  Guards against undocumented metrics, unbounded label values, and counts
  that leave out requests without an answer.

  Scenario: Every metric is documented and its label values are bounded
    When the "obalne" fleet serves every kind of request and is scraped
    Then every scraped metric is in docs/OPERATIONS.md with its labels
    And every metric in docs/OPERATIONS.md is declared by an instance
    And every scraped label value comes from the document or the documentation

  Scenario Outline: Each submission has one outcome in the metrics
    Guards against submissions that are not counted or counted twice.
    When <submission> is submitted to the "obalne" fleet and it is scraped
    Then the scraped "applespring_requests_total" is 1 for "<labels>" and 0 otherwise
    And the scraped "applespring_refusals_total" is 1 for "<refusal>" and 0 otherwise

    Examples:
      | submission                            | labels                     | refusal                      |
      | a valid request                       | assistant web answered     |                              |
      | a valid stream                        | assistant web answered     |                              |
      | a request of an unknown account       | assistant unknown rejected | unknown_account not_run      |
      | a request for an unknown pipeline     | unknown web rejected       | unknown_pipeline not_run     |
      | a request without its key             | payment web rejected       | key_required not_run         |
      | a request with a short deadline       | assistant web refused      | deadline_unreachable not_run |
      | a request whose caller disconnects    | assistant web caller_gone  |                              |
      | a request with a key of another owner | booking web answered       |                              |

  Scenario: Attempts, failures and costs of a refused request are counted
    Guards against wasted work that the metrics do not show.
    When the rerankers of the "obalne" fleet answer with the id of another request
    Then the scraped "applespring_requests_total" is 1 for "assistant web refused" and 0 otherwise
    And the scraped "applespring_stage_calls_total" is 1 for "reranker"
    And the scraped attempts of "reranker" are all "mismatch" and more than 1
    And all but one of the scraped attempts of "reranker" are added for "retry"
    And the scraped cost of stage "rerank" is entirely wasted
    And the scraped cost of stage "encode" is entirely wasted

  Scenario: A caller that disconnects while its refusal is sent has one outcome
    Guards against a submission that is counted twice.
    When one submission counts a disconnected caller and then a refusal
    Then the metrics have one request, "caller_gone", and no refusal

  Scenario: The costs for a caller that disconnects are counted as wasted
    When a request whose caller disconnects is submitted to the "obalne" fleet and it is scraped
    Then the scraped cost of stage "encode" is entirely wasted

  Scenario: The work for a key is counted once, by its owner
    Guards against work that the forwarding instance counts as well.
    When a request with a key of another owner is submitted to the "obalne" fleet and it is scraped
    Then the scraped "applespring_keyed_requests_total" is 1 for "ran" and 0 otherwise
    And the scraped "applespring_stage_calls_total" is 1 for "bookings"

  Scenario: Only the accounts with the largest weights have their own labels
    Guards against an unbounded number of series, and against labels that
    differ between instances.
    Given a document with 40 accounts of falling weight for the metrics
    Then the 32 accounts with the largest weights have labels of their own
    And the label of an account outside the document is "unknown"

  Scenario: The number of series of a family is bounded
    Guards against memory use that grows with unforeseen label values.
    When a counter of the metrics gets 4100 different labels
    Then it has at most 4001 series and a total of 4100

  Scenario: The buckets of a histogram are cumulative and include their bound
    Guards against an exposition that Prometheus reads wrongly.
    When a histogram of the metrics with bounds 0.1 and 1 observes 0.05, 0.1, 0.5 and 7
    Then its lines in the metrics are
      """
      # HELP x_seconds X.
      # TYPE x_seconds histogram
      x_seconds_bucket{le="0.1",pipeline="p"} 2.0
      x_seconds_bucket{le="1.0",pipeline="p"} 3.0
      x_seconds_bucket{le="+Inf",pipeline="p"} 4.0
      x_seconds_count{pipeline="p"} 4.0
      x_seconds_sum{pipeline="p"} 7.65
      """

  Scenario: The exposition of many series is rendered in parts
    Guards against an event loop that is blocked by a scrape, and against
    repeated header lines.
    When a counter of the metrics with 120 series is rendered
    Then it has 3 parts with 122 lines and 2 of them are comments

  Scenario: A counter that is set to a lower total keeps the higher one
    Guards against a decrease that Prometheus would count as a restart.
    When a counter of the metrics is set to 5 and then to 4
    Then its total in the metrics is 5
