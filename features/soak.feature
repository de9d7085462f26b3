Feature: Soak: real relay processes with faults from outside
  Guards against broken promises that only show in real processes, and against
  a soak that would not notice them.

  Scenario: Requests that went well break no promise
    Given records of 1 request of each kind that went well
    Then the audit finds nothing

  Scenario Outline: The audit finds a broken promise
    Given records of 1 request of each kind that went well
    When in the records <what>
    Then the audit finds <check> and nothing else

    Examples:
      | check   | what                                                 |
      | unasked | an upstream runs what no caller sent                 |
      | unasked | an upstream runs a changed body                      |
      | unasked | an upstream is told another account                  |
      | unasked | a header of the caller is passed on                  |
      | route   | a safe request runs at an engine                     |
      | twice   | an unsafe request runs twice                         |
      | twice   | a safe request runs three times                      |
      | refused | a request that ran is answered 503                   |
      | mixed   | a caller gets the answer of another request          |
      | mixed   | a caller gets a changed body                         |
      | mixed   | a caller gets a success that no upstream signed      |
      | mixed   | a stream lacks its last event and ends as whole      |
      | order   | a stream that is cut has its events out of order     |
      | stages  | a piece is made of the results of another request    |
      | stages  | a piece is made of some results only                 |
      | stages  | a stream is made without its results                 |
      | late    | 8 answers come 0.6 s after their deadline            |
      | lost    | a request that ran is not answered while its instance stops |
      | config  | a new route is unknown 2.1 s after it was stored     |
      | config  | a dropped key is taken 2.1 s after it was dropped    |
      | denied  | a proper request gets 404                            |
      | drain   | a request reaches an upstream 2.1 s after it said that it leaves |
      | budget  | 60 requests of 40 are sent again                     |
      | ended   | a process ends by itself                             |
      | overstay | a process does not end in time                      |
      | recover | no stream is served after the last fault             |

  Scenario: A pause of the soak itself excuses what it timed
    Given records of 1 request of each kind that went well
    When in the records a request that ran is not answered while its instance stops
    And in the records the soak itself stood still meanwhile
    Then the audit finds nothing

  Scenario: A failed request that the log does not name is found
    Given records of 1 request of each kind that went well
    When a request is refused and its instance logs nothing
    Then the audit of the logs finds it

  Scenario: Signals while an instance stops cut no request
    Found by seed 501 with 30 faults: a second SIGTERM, or a SIGHUP, ended the
    process at once, since nothing handled signals any more.
    When the soak runs seed 501 with 6 faults "relay signalled while it stops"
    Then no promise is broken

  Scenario Outline: A short run of fixed seeds
    When the soak runs seed <seed>
    Then no promise is broken

    Examples:
      | seed |
      | 1    |
      | 2    |
