Feature: Service level report from saved scrapes
  Guards against burn rates that hide restarts, missing data or faults in the
  input.

  Background:
    Given the report's document with the pipelines
      | name   | objective |
      | search | 0.9       |
      | pay    | 0.99      |

  Scenario: Attainment, burn rate and budget of a pipeline and its accounts
    Guards against figures that count rejected requests or ignore late ones.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 100
      # scrape e1 1300
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 195
      applespring_requests_total{pipeline="search",account="web",outcome="refused"} 3
      applespring_requests_total{pipeline="search",account="web",outcome="late"} 2
      applespring_requests_total{pipeline="search",account="web",outcome="rejected"} 7
      applespring_requests_total{pipeline="pay",account="web",outcome="answered"} 100
      """
    When the report is made with "--windows-s 300"
    Then the report ends with code 0
    And the report's row "search" in "Service level by pipeline" is
      | requests | excluded | attainment | objective | burn 5 min | budget left |
      | 100      | 7        | 95.00%     | 90.00%    | 0.50       | 50%         |
    # The objective of an account is that of its requests: 10 of 100 and 1 of
    # 100 may fail, 5 of 200 did.
    And the report's row "web" in "Service level by client account" is
      | requests | excluded | attainment | objective | burn 5 min | budget left |
      | 200      | 7        | 97.50%     | 94.50%    | 0.45       | 55%         |

  Scenario: A short window shows a recent fault that a long one dilutes
    Guards against windows that cover more than their length.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 0
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 0
      # scrape e1 3300
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 900
      # scrape e1 3600
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 950
      applespring_requests_total{pipeline="search",account="web",outcome="refused"} 50
      """
    When the report is made with "--windows-s 300 3600"
    Then the report's row "search" in "Service level by pipeline" is
      | requests | attainment | burn 5 min | burn 1 h |
      | 1000     | 95.00%     | 5.00       | 0.50     |

  Scenario: A restart resets the counters and not the report
    Guards against requests that are lost in the report because their counter
    started again from 0.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_instance_info{name="e1",incarnation="a"} 1
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 40
      applespring_requests_total{pipeline="search",account="web",outcome="refused"} 5
      # scrape e1 1100
      applespring_instance_info{name="e1",incarnation="b"} 1
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 60
      """
    When the report is made with ""
    Then the report's row "search" in "Service level by pipeline" is
      | requests | attainment |
      | 60       | 100.00%    |
    And the report notes "e1: restarted between 1000 and 1100"

  Scenario: Without an incarnation, a counter that falls shows a restart
    Guards against a negative increase.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 40
      applespring_requests_total{pipeline="search",account="web",outcome="late"} 1
      # scrape e1 1100
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 10
      applespring_requests_total{pipeline="search",account="web",outcome="late"} 2
      """
    When the report is made with ""
    Then the report's row "search" in "Service level by pipeline" is
      | requests | attainment |
      | 12       | 83.33%     |
    And the report notes "e1: restarted between 1000 and 1100"

  Scenario: Instances are summed up, and a missing or stale one is named
    Guards against a report that leaves out an instance without a note.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 0
      # scrape e1 1300
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 10
      """
    And the saved scrapes "e2.prom"
      """
      # scrape e2 1000
      applespring_requests_total{pipeline="search",account="web",outcome="refused"} 0
      # scrape e2 1100
      applespring_requests_total{pipeline="search",account="web",outcome="refused"} 10
      """
    When the report is made with "--instances e1,e2 e3"
    Then the report's row "search" in "Service level by pipeline" is
      | requests | attainment |
      | 20       | 50.00%     |
    And the report notes "e3: missing, no scrape"
    And the report notes "e2: no scrape in the last 200 s"
    And the report does not note "e1: no scrape"

  Scenario: A window that the scrapes cover in part is marked
    Guards against a burn rate of a shorter time than its heading states.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 0
      # scrape e1 1150
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 9
      applespring_requests_total{pipeline="search",account="web",outcome="late"} 1
      """
    When the report is made with "--windows-s 120 300"
    Then the report's row "search" in "Service level by pipeline" is
      | requests | burn 2 min | burn 5 min* |
      | 10       | 1.00       | 1.00        |
    And the report notes "window 5 min: the scrapes cover 2.5 min of it"

  Scenario: A single scrape counts for the overall level and for no window
    Guards against totals since the start that appear as a burn rate.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 10
      """
    When the report is made with "--windows-s 300"
    Then the report's row "search" in "Service level by pipeline" is
      | requests | attainment | burn 5 min* |
      | 10       | 100.00%    | -           |
    And the report notes "e1: one scrape only"

  Scenario: A pipeline without an objective has no burn rate
    Guards against a burn rate by an invented objective.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="old",account="web",outcome="answered"} 1
      """
    When the report is made with "--windows-s 300"
    Then the report's row "old" in "Service level by pipeline" is
      | requests | attainment | objective | budget left |
      | 1        | 100.00%    | -         | -           |
    And the report notes "pipeline old: no objective in the document"

  Scenario: Without requests there is no attainment
    Guards against an idle pipeline that seems to meet its objective.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_config_revision 4
      # scrape e1 1300
      applespring_config_revision 4
      """
    When the report is made with "--windows-s 300"
    Then the report's row "search" in "Service level by pipeline" is
      | requests | attainment | objective | burn 5 min | budget left |
      | 0        | -          | -         | -          | -           |
    And the report notes "no request was counted"

  Scenario: Cost by stage, added attempts and reasons with their meaning
    Guards against reroutes and cancelled attempts in the counts, and against
    an unknown reason code that ends the report.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_stage_cost_total{pipeline="search",stage="find"} 8
      applespring_stage_cost_wasted_total{pipeline="search",stage="find"} 2
      applespring_stage_calls_total{pool="finder"} 50
      applespring_stage_added_attempts_total{pool="finder",cause="retry"} 4
      applespring_stage_added_attempts_total{pool="finder",cause="reroute"} 9
      applespring_stage_attempts_total{pool="finder",outcome="ok"} 48
      applespring_stage_attempts_total{pool="finder",outcome="mismatch"} 6
      applespring_stage_attempts_total{pool="finder",outcome="cancelled"} 1
      applespring_refusals_total{pipeline="search",reason="overloaded",verdict="not_run"} 3
      applespring_refusals_total{pipeline="search",reason="key_required",verdict="not_run"} 5
      applespring_refusals_total{pipeline="search",reason="cosmic",verdict="not_run"} 1
      """
    When the report is made with ""
    Then the report's row "search" in "Cost by stage" is
      | stage | cost | wasted | share wasted |
      | find  | 8.00 | 2.00   | 25.0%        |
    And the report's row "finder" in "Attempts by pool" is
      | calls | added | share added | failed |
      | 50    | 4     | 8.0%        | 6      |
    And the report's row "key_required" in "Reasons of refusals" is
      | count | in service level | meaning                                 |
      | 5     | no               | This pipeline needs an Idempotency-Key. |
    And the report's row "overloaded" in "Reasons of refusals" is
      | count | in service level | meaning                                     |
      | 3     | yes              | A stage has no capacity for this request. |
    And the report's row "cosmic" in "Reasons of refusals" is
      | count | meaning                                              |
      | 1     | This version of the report does not know the code. |

  Scenario: The report as JSON has null for a missing value
    Guards against a 0 that stands for a missing value.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 10
      """
    When the report is made with "--output json --windows-s 300"
    Then the report's JSON has for pipeline "search" the values
      | attainment | budget_left |
      | 1.0        | 1.0         |
    And the report's JSON has for pipeline "pay" the values
      | attainment | budget_left |
      | null       | null        |

  Scenario: The HTML page contains its plots and loads no other resource
    Guards against a page that needs a network, and against names that are
    read as HTML.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 0
      # scrape <e2> 1000
      # scrape e1 1300
      applespring_requests_total{pipeline="search",account="a<b>",outcome="answered"} 10
      """
    When the report is made with "--html page.html"
    Then the report's page "page.html" embeds 3 plots and no other resource
    And the report's page "page.html" contains "a&lt;b&gt;"

  Scenario: The counters of a relay count like those of an entry instance
    Guards against a service level of zero requests, and against failures that
    are left out of it.
    Given the saved scrapes "r1.prom"
      """
      # scrape r1 1000
      applespring_relay_requests_total{route="search",outcome="done"} 0
      # scrape r1 1300
      applespring_relay_requests_total{route="search",outcome="done"} 80
      applespring_relay_requests_total{route="search",outcome="status_200"} 10
      applespring_relay_requests_total{route="search",outcome="status_500"} 2
      applespring_relay_requests_total{route="search",outcome="overloaded"} 4
      applespring_relay_requests_total{route="search",outcome="cut_upstream_failed"} 4
      applespring_relay_requests_total{route="search",outcome="caller_gone"} 5
      applespring_relay_requests_total{route="search",outcome="unknown_key"} 6
      applespring_relay_stage_calls_total{pool="encoder",outcome="done"} 90
      applespring_relay_stage_calls_total{pool="encoder",outcome="failed"} 10
      """
    When the report is made with "--windows-s 300"
    Then the report ends with code 0
    And the report's row "search" in "Service level by pipeline" is
      | requests | excluded | attainment | objective | burn 5 min |
      | 100      | 11       | 90.00%     | 90.00%    | 1.00       |
    And the report notes "relays count no late answers"
