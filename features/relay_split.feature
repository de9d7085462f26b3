Feature: Routes whose requests are split between pools

  Scenario: Every instance chooses the same pool for a request
    Guards against a choice that depends on the process, so that an attempt
    which comes again at another instance may get another pool (issue 20).
    When two processes with different hash seeds get the same 200 requests of a route split 3 to 1
    Then each request went to the same pool in both
    And between 0.65 and 0.85 of them went to the first pool
