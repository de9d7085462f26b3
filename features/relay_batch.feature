Feature: Batch queue of a stage pool
  Load patterns: a burst of requests with several large results (the first
  seconds of quiet-1 at kabine-obala), mixed with pieces of small results.
  Guards against calls that are sent half empty, requests that wait forever for
  the result memory which each other's incomplete stages occupy, and work on
  requests that cannot be on time any more.

  Background:
    Given a stage pool of 3 upstreams in koper, izola, piran with 4 pieces a call, 150 ms a call, 32 ms a piece, 28 MB of results

  Scenario: Pieces of several requests share a call
    When requests a, b, c, d each offer 1 piece of 8 kB at 0.0
    Then the next calls hold 4 pieces
    And the call to one upstream holds pieces of a, b, c, d

  Scenario: A large piece waits for an upstream of its failure domain
    When request a offers 2 pieces of 3 MB for izola at 0.0
    Then the next calls go to izola

  Scenario: An upstream takes pieces of its own failure domain first
    Load pattern: a queue longer than a call, whose pieces read many inputs.
    Executed in another domain, each piece has all of its inputs moved there.
    When requests a, b each offer 3 pieces of 6 kB for koper at 0.0
    And requests c, d each offer 2 pieces of 6 kB for izola at 0.01
    And only the upstream in izola is idle at 0.1
    Then the call to one upstream holds pieces of c, c, d, d

  Scenario: Among late pieces the more urgent ones go first
    Load pattern: a stage pool that lacks upstreams for many seconds, so that
    all requests are late, while those of the least urgent route have longer
    deadlines. Ordered by deadline alone, the wrong ones would be served.
    When requests a, b each offer 2 pieces of 6 kB at 0.0 with priority 12 with its target at 0.1 with its deadline at 4.0
    And requests c, d each offer 2 pieces of 6 kB at 0.0 with priority 10 with its target at 0.1 with its deadline at 6.0
    And only the upstream in izola is idle at 0.2
    Then the call to one upstream holds pieces of c, c, d, d

  Scenario: More urgent pieces go before those of the failure domain
    When requests c, d each offer 2 pieces of 6 kB for izola at 0.0 with priority 1
    And request e offers 4 pieces of 6 kB for koper at 0.01 with priority 0
    And only the upstream in izola is idle at 0.1
    Then the call to one upstream holds pieces of e, e, e, e

  Scenario: A large piece waits for its failure domain no longer than a call
    Given the upstream in izola is busy
    When request a offers 2 pieces of 3 MB for izola at 0.0
    Then there is no call at 0.1
    And there is a call at 0.3

  Scenario: A piece with little time to spare goes to any failure domain
    Load pattern: a route with a short latency target and one upstream in each
    failure domain (run-quote at kwagga-groove). Pieces waited for the upstream
    of their domain, at the median for 0.18 s of 0.91 s, while others were idle.
    Given the upstream in izola is busy
    When request a offers 2 pieces of 3 MB for izola at 0.0 with its target at 0.4
    Then there is no call at 0.05
    And there is a call at 0.1

  Scenario: A small piece with time to spare waits for its failure domain
    Load pattern: ten pieces of a stage that each read the results of six
    (spec-check at kwagga-groove). Executed in another domain, they move ten
    times the bytes of those results.
    Given the upstream in izola is busy
    When request a offers 2 pieces of 6 kB for izola at 0.0 with its target at 1.3
    Then there is no call at 0.2
    And there is a call at 0.3

  Scenario: A stage is opened only when all its large results fit
    When requests a, b, c, d, e, f, g each offer 5 pieces of 3 MB at 0.0
    And every call ends and no result is released
    Then only complete requests have results
    And at least 4 requests have results

  Scenario: The remaining pieces of a started request go before new requests
    Given the upstreams in izola, piran are busy
    When request a offers 6 pieces of 8 kB at 0.0 with priority 2
    And the next calls are made at 0.0
    And request b offers 4 pieces of 8 kB at 0.1 with priority 0
    And the first call ends at 0.3
    Then the call to one upstream holds pieces of a, a, b, b

  Scenario: A request that can be on time goes before a late one
    When request late offers 4 pieces of 8 kB at 0.0 with its target at 0.1
    And request fresh offers 4 pieces of 8 kB at 0.2 with its target at 1.5
    And only the upstream in koper is idle at 0.5
    Then the call to one upstream holds pieces of fresh, fresh, fresh, fresh

  Scenario: An upstream with full memory gets no large piece until a release
    Given the upstreams in izola, piran are busy
    When requests a, b, c each offer 3 pieces of 3 MB at 0.0
    And every call ends and no result is released
    And request d offers 1 piece of 3 MB at 2.0
    Then there is no call at 2.0
    When a result of a is released
    Then there is a call at 2.0

  Scenario: A failed call is retried at another upstream
    When request a offers 1 piece of 8 kB at 0.0
    And the next call fails at 0.2
    Then the next call goes to another upstream

  Scenario: A piece has a bounded number of attempts
    When request a offers 1 piece of 8 kB at 0.0
    And its call fails 4 times
    Then the piece is given up

  Scenario: Pieces of a failed call are given up if it may not be retried
    Load pattern: an upstream crashes while the fleet's retry budget is used up.
    When requests a, b each offer 1 piece of 8 kB at 0.0
    And the next call fails at 0.2 and may not be repeated
    Then 2 pieces are given up
    And there is no call at 1.0

  Scenario: The result of a withdrawn request is released
    When request a offers 1 piece of 8 kB at 0.0
    And the next calls are made at 0.0
    And request a is withdrawn
    And the first call ends at 0.3
    Then its result is to be released

  Scenario: The pieces of one submission are withdrawn
    Guards against pieces that are executed twice: their submitter got no
    acknowledgement and submitted them to another scheduler.
    When submission s1 of request a offers 2 pieces and submission s2 offers 3
    And submission s1 of request a is withdrawn
    Then the next calls hold 3 pieces

  Scenario: A withdrawn piece is not called again
    Guards against further calls for a request that has ended, whose piece had
    no room for its result in the call in progress.
    When request a offers 1 piece of 8 kB at 0.0
    And the next calls are made at 0.0
    And request a is withdrawn
    And the first call ends at 0.3 without memory for its results
    Then there is no call at 1.0

  Scenario: An upstream that accepts no connection is paused for longer
    Load pattern: an upstream crashes in a burst. Refusals pause an upstream for
    0.1 s; with that pause, the most urgent pieces were sent to the crashed one
    again and again (scale-1 at kwagga-groove, 431 pieces in 4 s).
    Given the upstreams in izola, piran are busy
    When request a offers 1 piece of 8 kB at 0.0
    And the next call finds the upstream unreachable at 0.0
    Then there is no call at 0.4
    And there is a call at 0.6

  Scenario: The wait follows what the pool achieves while memory is short
    Load pattern: a burst at a stage whose results are released late. Calls are
    not full then, and by the time of full calls three times as many requests
    were admitted as could be served.
    Given a stage pool of 1 upstreams in koper with 15 pieces a call, 150 ms a call, 9 ms a piece, 1 MB of results
    When 20 started requests each offer 7 pieces of 60 kB at 0.0
    And for 3 s every call ends after 0.3 s and its results are released 0.7 s later
    Then a request with 6 s left is not admitted at 3.0
    And a request with 30 s left is admitted at 3.0

  Scenario: A request that would wait too long is not admitted
    When 60 requests each offer 1 piece of 8 kB at 0.0
    Then a request with 1 s left is not admitted at 0.0
    And a request with 12 s left is admitted at 0.0

  Scenario: A piece that cannot be done in time is given up at once
    When request a offers 1 piece of 8 kB at 0.0 with its deadline at 0.1
    Then the piece is overdue at 0.0

  Scenario: A later stage opens no more requests than fit into its memory
    Load pattern: scale-1 at kabine-obala after an upstream of the stage has
    left. Calls had 2 to 10 pieces of 15 while 140 were queued, since results
    of many incomplete requests filled the memory.
    Given a stage pool of 2 upstreams in koper, izola with 15 pieces a call, 150 ms a call, 9 ms a piece, 1 MB of results
    When 20 started requests each offer 7 pieces of 60 kB at 0.0
    And every call ends and no result is released
    Then only complete requests of 7 pieces have results
    And at least 4 requests have results

  Scenario: A late request that is opened is finished first
    Given the upstreams in izola, piran are busy
    When request late offers 6 pieces of 8 kB at 0.0 with its target at 0.2
    And the next calls are made at 0.0
    And request fresh offers 4 pieces of 8 kB at 0.1
    And the first call ends at 0.3
    Then the call to one upstream holds pieces of late, late, fresh, fresh

  Scenario: An opened stage continues with less free memory than it needs
    Load pattern: a scheduler took over a pool, and an upstream reports memory
    that results of the previous scheduler occupy.
    Given a stage pool of 1 upstreams in koper with 4 pieces a call, 150 ms a call, 32 ms a piece, 28 MB of results
    When request a offers 6 pieces of 3 MB at 0.0
    And the next calls are made at 0.0
    And the first call ends at 0.3
    And the upstream in koper reports 5 MB of free memory at 0.3
    Then the call to one upstream holds pieces of a

  Scenario: The estimates of a queue are numbers, whatever its upstreams allow
    Guards against a division by a throughput of 0, which ended the process that
    schedules the pool: the first upstream that a rate limit opens may be paused
    for longer, since its calls failed (inc-negative-wait).
    Then any of 300 generated queues has estimates from 0 to infinity

  Scenario: The wait of a pool whose upstream failed and has a rate limit
    Guards against requests that are admitted, or told to come back, as if the
    upstream could be called as soon as its limit allows (inc-negative-wait).
    Given a stage pool of 1 upstreams in koper with 4 pieces a call, 150 ms a call, 32 ms a piece, 28 MB of results
    When its upstream has a limit of 2 calls a second that opens at 1.0, and is paused until 3.0
    Then a new piece is expected to wait for 3.0 s at 0.0
