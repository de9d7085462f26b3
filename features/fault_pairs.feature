Feature: Pairs of concurrent faults
  Two faults at once on a fleet with two entry instances in each failure domain.
  P1 to P7 are checked as in the fault matrix.

  Scenario Outline: <pair>
    Guards against a property that holds under each of the faults but not both.
    When the matrix runs the pair "<pair>"
    Then the matrix run violates no property

    Examples:
      | pair                                                           |
      | owner killed, issued key resubmitted elsewhere                 |
      | owner killed, caller-chosen key resubmitted elsewhere          |
      | domain cut off while the platform is stale                     |
      | paused instance resumes with an old list while upstreams leave |
      | drain while an engine is killed in mid-stream                  |
      | two operators while a domain is cut off                        |
      | two operators at the same instant                              |
      | instance starts against a stale platform                       |
      | all instances killed and restarted                             |
      | event loop is late past the deadline before the write          |
      | upstream leaves between connect and write                      |
      | ownership ends between connect and write                       |
