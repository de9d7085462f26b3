Feature: Comparison of answers with execution records
  Guards against a run that reports no fault although a request was lost,
  executed twice, or executed in spite of a refusal with verdict not_run.

  Background:
    Given the chain "pay=encode:enc/service:charge"

  Scenario Outline: Faults are found in the records
    Guards against a comparison that misses this fault or reports one where
    there is none.
    Given the submissions "<submissions>"
    And the executions "<executions>"
    Then the faults found are "<faults>"

    Examples: Lost
      | submissions | executions                  | faults |
      | a:-:whole   | a:-:enc,a:-:charge          |        |
      | a:-:whole   | a:-:enc                     |        |
      | a:-:whole   | b:-:charge,a:-:enc          |        |
      | a:-:whole,b:-:whole | a:-:enc,a:-:charge,b:-:enc | lost |
      | a:-:whole,b:-:whole | a:-:enc,a:-:charge,b:-:enc,b:-:charge!cut | lost |
      | a:k:whole,b:k:whole | a:-:enc,a:k:charge  |        |

    Examples: Doubled
      | submissions | executions                           | faults  |
      | a:-:whole   | a:-:enc,a:-:charge,a:-:charge        | doubled |
      | a:-:broken  | a:-:charge,a:-:charge!cut            | doubled |
      | a:-:whole   | a:-:enc,a:-:enc,a:-:charge           |         |
      | a:k:whole,b:k:whole | a:-:enc,a:k:charge,b:k:charge | doubled |
      | a:k:whole,b:k:whole | a:-:enc,a:-:charge,b:-:charge | doubled |
      | a:k:whole,b:l:whole | a:-:enc,b:-:enc,a:k:charge,b:l:charge | |

    Examples: Refusals with verdict not_run
      | submissions        | executions             | faults        |
      | a:-:not_run        |                        |               |
      | a:-:not_run        | a:-:enc!no effect      |               |
      | a:-:not_run        | a:-:charge             | false_not_run |
      | a:-:not_run        | a:-:charge!later       | false_not_run |
      | a:-:may_have_run   | a:-:charge             |               |
      | a:k:not_run,b:k:broken | b:k:charge         | false_not_run |
      | a:k:not_run,b:k:broken | b:k:charge!later   |               |

    Examples: Leaving upstreams
      | submissions | executions                 | faults        |
      | a:-:broken  | a:-:charge!left 5          |               |
      | a:-:broken  | a:-:charge!left 6          | after_leaving |

  Scenario Outline: An unusable record is a fault
    Guards against a comparison that passes because nothing was compared.
    When the record is <record>
    Then it is rejected

    Examples:
      | record                                             |
      | {"name": "x", "dropped": 3, "executions": []}      |
      | {"name": "x", "dropped": 0, "executions": [{}]}    |
      | {"name": "x"}                                      |
      | []                                                 |
