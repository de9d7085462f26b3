Feature: Stand-ins for upstreams
  Guards against simulated upstreams that lack the limits, delays and faults of
  real ones, and against execution records in which a fault does not show.

  Scenario: An answer names its call and the digest of its output
    Guards against answers that a check of identity and completeness could not
    judge.
    Given a service stand-in
    When calls "a" are sent
    Then call "a" answers its own output with a matching digest
    And "a" was executed 1 times and completed

  Scenario: Slots limit the calls that run at once
    Guards against a service of unlimited capacity, which hides overload.
    Given a service stand-in with {"slots": 2, "service_s": 1.0}
    When calls "a,b,c" are sent
    Then the calls ended after "1,1,2" s

  Scenario: A full queue refuses a call without running it
    Guards against a refused call that the record shows as executed.
    Given a service stand-in with {"slots": 1, "queue_max": 1}
    When calls "a,b,c" are sent
    Then call "c" answers 503 with Applespring-Not-Run
    And "c" was executed 0 times

  Scenario: A deduplicating service executes a key once
    Guards against a stand-in that executes a key twice itself, which a check
    for doubled execution (P4) would blame on the system.
    Given a service stand-in with {"deduplicates": true}
    When calls "a,b,c" are sent with key "k"
    Then "k" was executed 1 times in all
    And call "b" answers status 200

  Scenario: A service without deduplication executes a key each time
    Guards against a stand-in that hides a doubled execution from that check.
    Given a service stand-in
    When calls "a,b" are sent with key "k"
    Then "k" was executed 2 times in all

  Scenario: A client that disconnects stops the execution
    Guards against a record that shows an abandoned call as completed, and
    against a slot that stays occupied.
    Given a service stand-in with {"service_s": 5.0}
    When call "a" is sent and the client disconnects after 1 s
    Then "a" was executed 1 times and not completed
    And the running calls are 0

  Scenario Outline: Each fault changes the answer as specified
    Guards against an injected fault that has no effect or a different one, and
    against one that hides whether the call was executed.
    Given a service stand-in
    And the faults [<fault>]
    When calls "a" are sent
    Then call "a" shows "<effect>"
    And "a" was executed <times> times

    Examples:
      | fault                                      | effect    | times |
      | {"kind": "refuse"}                         | refused   | 0     |
      | {"kind": "refuse", "not_run": true}        | not run   | 0     |
      | {"kind": "refuse", "when": "after_run"}    | refused   | 1     |
      | {"kind": "reset", "when": "before_read"}   | reset     | 0     |
      | {"kind": "reset", "when": "after_read"}    | reset     | 0     |
      | {"kind": "reset", "when": "after_run"}     | reset     | 1     |
      | {"kind": "truncate", "after": 9}           | cut reset | 1     |
      | {"kind": "truncate", "after": 9, "clean": true} | cut  | 1     |
      | {"kind": "duplicate"}                      | twice     | 1     |
      | {"kind": "wrong_id"}                       | other id  | 1     |
      | {"kind": "garbage"}                        | no JSON   | 1     |
      | {"kind": "delay", "seconds": 3}            | 3 s late  | 1     |
      | {"kind": "refuse", "probability": 0}       | complete  | 1     |
      | {"kind": "refuse", "count": 0}             | complete  | 1     |
      | {"kind": "refuse", "path": "/v1/load"}     | complete  | 1     |

  Scenario: A frozen service answers once the fault is cleared
    Guards against a freeze that ends by itself, and against one that does not
    end when the fault is cleared.
    Given a service stand-in
    And the faults [{"kind": "freeze"}]
    When call "a" is sent and the faults are cleared after 9 s
    Then the calls ended after "9.02" s

  Scenario: A count limits the requests that a fault applies to
    Guards against a fault that continues after its count is used up.
    Given a service stand-in
    And the faults [{"kind": "refuse", "count": 1}]
    When calls "a,b" are sent one after the other
    Then the call statuses are "503,200"

  Scenario Outline: An invalid fault is refused and the earlier ones stay
    Guards against a misspelled fault that is ignored, so that a test passes
    without any fault.
    Given a service stand-in
    And the faults [{"kind": "refuse"}]
    When the faults [<fault>] are refused
    And calls "a" are sent one after the other
    Then the call statuses are "503"

    Examples:
      | fault                               |
      | {"kind": "explode"}                 |
      | {"kind": "delay", "second": 1}      |
      | {"kind": "reset", "when": "never"}  |
      | {"kind": "delay", "probability": 2} |
      | {"kind": "delay", "count": -1}      |

  Scenario: Load reports are delayed
    Guards against tests in which every load report is current.
    Given a service stand-in with {"load_lag_s": 2.0, "service_s": 5.0}
    When the load is read 1 s and 3 s after a call started
    Then the running calls reported are "0,1"

  Scenario: A service may have no load report
    Guards against a system that depends on load reports.
    Given a service stand-in with {"reports_load": false}
    When "GET" "/v1/load" is sent
    Then the upstream answers 404

  Scenario: Answers and the load report show the state leaving
    Guards against a state that only one of the two shows.
    Given a service stand-in
    When its state becomes leaving and a call follows
    Then the answer and the load report say leaving

  Scenario Outline: Each answer repeats the sending of its request
    Guards against a system that closes each connection to the stand-ins, since
    their answers show to no request that they belong to it.
    Given a service stand-in
    And the faults <faults>
    When "<method>" "<path>" is sent as the sending "p-7"
    Then the upstream answers <status>
    And the answer repeats the sending "p-7"

    Examples:
      | method | path     | faults               | status |
      | GET    | /v1/load | []                   | 200    |
      | POST   | /v1/call | []                   | 400    |
      | GET    | /v1/load | [{"kind": "refuse"}] | 503    |
      | GET    | /nothing | []                   | 404    |
