Feature: The metrics of an entry instance
  Guards against undocumented metrics, labels without bound, and counts that
  leave out requests which got no answer.

  Scenario: Every metric is documented and its labels are bounded
    When the "obalne" fleet serves every kind of request and is scraped
    Then every scraped metric is in docs/OPERATIONS.md with its labels
    And every metric in docs/OPERATIONS.md is declared by an instance
    And every scraped label value comes from the document or the documentation

  Scenario Outline: Each submission has one outcome in the metrics
    When <submission> is submitted to the "obalne" fleet and it is scraped
    Then the scraped "applespring_requests_total" is 1 for "<labels>" and 0 otherwise
    And the scraped "applespring_refusals_total" is 1 for "<refusal>" and 0 otherwise

    Examples:
      | submission           | labels                                 | refusal                 |
      | a good request       | assistant web answered                 |                         |
      | a good stream        | assistant web answered                 |                         |
      | an unknown account   | assistant unknown rejected             | unknown_account not_run |
      | an unknown pipeline  | unknown web rejected                   | unknown_pipeline not_run |
      | a missing key        | payment web rejected                   | key_required not_run    |
      | a short deadline     | assistant web refused                  | deadline_unreachable not_run |
      | a caller that leaves | assistant web caller_gone              |                         |
      | a foreign key        | booking web answered                   |                         |

  Scenario: Attempts, failures and costs of a refused request are counted
    When the rerankers of the "obalne" fleet answer with the id of another request
    Then the scraped "applespring_requests_total" is 1 for "assistant web refused" and 0 otherwise
    And the scraped "applespring_stage_calls_total" is 1 for "reranker"
    And the scraped attempts of "reranker" are all "mismatch" and more than 1
    And all but one of the scraped attempts of "reranker" are added for "retry"
    And the scraped cost of stage "rerank" is wasted whole
    And the scraped cost of stage "encode" is wasted whole

  Scenario: A caller that leaves while its refusal is sent has one outcome
    When the metrics of one submission get a caller that left and then a refusal
    Then the metrics have one request, "caller_gone", and no refusal

  Scenario: A caller that leaves has its costs counted as wasted
    When a caller that leaves is submitted to the "obalne" fleet and it is scraped
    Then the scraped cost of stage "encode" is wasted whole

  Scenario: The work for a key is counted once, where its owner executes it
    When a foreign key is submitted to the "obalne" fleet and it is scraped
    Then the scraped "applespring_keyed_requests_total" is 1 for "ran" and 0 otherwise
    And the scraped "applespring_stage_calls_total" is 1 for "bookings"

  Scenario: Accounts beyond the bound share one label, the same everywhere
    Given a document with 40 accounts of falling weight for the metrics
    Then the 32 accounts with the largest weights have labels of their own
    And the label of an account outside the document is "unknown"

  Scenario: A family without bounded labels stays bounded
    When a counter of the metrics gets 4100 different labels
    Then it has at most 4001 series and a total of 4100

  Scenario: The buckets of a histogram are cumulative and include their bound
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

  Scenario: The exposition of many series comes in parts without repetition
    When a counter of the metrics with 120 series is rendered
    Then it has 3 parts with 122 lines and 2 of them are comments

  Scenario: A total that is corrected downwards does not look like a restart
    When a counter of the metrics is set to 5 and then to 4
    Then its total in the metrics is 5
