Feature: Soak: real relay processes under injected faults
  Guards against violated guarantees that only show in real processes, and
  against an audit that would miss them.

  Scenario: The audit reports no violation for successful requests
    Guards against an audit that reports violations in records without any.
    Given records of 1 successful request of each kind
    Then the audit finds nothing

  Scenario Outline: The audit finds a violated guarantee
    Guards against an audit that misses a violation or reports another one.
    Given records of 1 successful request of each kind
    When in the records <what>
    Then the audit finds <check> and nothing else

    Examples:
      | check    | what                                                                 |
      | unasked  | an upstream executes what no caller sent                             |
      | unasked  | an upstream executes a changed body                                  |
      | unasked  | an upstream receives another account                                 |
      | unasked  | a header of the caller is passed on                                  |
      | route    | a safe request is executed at an engine                              |
      | twice    | an unsafe request is executed twice                                  |
      | twice    | a safe request is executed three times                               |
      | refused  | a request that was executed is answered 503                          |
      | mixed    | a caller gets the answer of another request                          |
      | mixed    | a caller gets a changed body                                         |
      | mixed    | a caller gets a success that no upstream signed                      |
      | mixed    | a caller gets a 202 that no upstream signed                          |
      | mixed    | an upstream refuses the last sending of a request that succeeds      |
      | mixed    | an upstream fails the last sending of a request that succeeds        |
      | mixed    | an upstream completes the last sending of a request that fails       |
      | mixed    | an upstream fails a request and its caller gets another body         |
      | mixed    | a stream lacks its last event and ends as complete                   |
      | order    | a stream that breaks off has its events out of order                 |
      | stages   | a piece uses the results of another request                          |
      | stages   | a piece uses the same result twice                                   |
      | stages   | a piece uses only some of its input results                          |
      | stages   | a stream is generated without its input results                      |
      | late     | 8 answers come 0.6 s after their deadline                            |
      | answered | a caller waits in vain for the first event of a stream               |
      | answered | the answer to an unsafe request comes 0.01 s after its deadline      |
      | lost     | a stream that had begun breaks off                                   |
      | config   | a new route is unknown 2.1 s after it was stored                     |
      | config   | a removed key is accepted 2.1 s after its removal                    |
      | denied   | a valid request gets 404                                             |
      | drain    | a request reaches an upstream 2.1 s after it started to drain        |
      | budget   | a window has 60 added attempts and 40 requests                       |
      | leaving  | a request reaches an upstream 2.1 s after it told the instance that it leaves |
      | paused   | 3 requests reach an upstream that had asked the instance for a pause |
      | evacuated | a request reaches an upstream 5.1 s after its domain is evacuated   |
      | limited  | 12 requests in 4 s reach an upstream with a limit of 1 a second      |
      | cold     | 6 requests in 1 s reach a cold upstream that takes 4                 |
      | deadly   | 4 requests reach engines 3.1 s after a part crashed the fifth one    |
      | deadly   | 4 requests reach upstreams 3.1 s after one crashed the third         |
      | ended    | a process ends unexpectedly                                          |
      | memory   | a process uses more memory than its machine has                      |
      | sockets  | a process has more sockets than its machine has descriptors          |
      | overstay | a process does not exit in time after SIGTERM                        |
      | recover  | no stream is served after the last fault                             |

  Scenario Outline: Connections to the store that go silent excuse a late request
    Guards against a violation that is reported before all instances are in touch
    again, and against one that is never reported since others follow.
    Given records of 1 successful request of each kind
    When in the records a request reaches an upstream 2.1 s after it started to drain
    And in the records connections to the store went silent <ago> s before that
    Then the audit finds <found>

    Examples:
      | ago | found                  |
      | 2.9 | nothing                |
      | 3.1 | drain and nothing else |

  Scenario: A request that has failed and is refused when sent again has failed
    Guards against violations that are reported for a failure that an instance
    passes on, since a refusal would say that the request did not run.
    Given records of 1 successful request of each kind
    When in the records an upstream fails a request and refuses its last sending
    Then the audit finds nothing

  Scenario Outline: The audit finds a request that ends without an answer
    Guards against an audit that takes the end of a connection without an answer
    for a closed idle connection.
    Given records of 1 successful request of each kind
    When in the records <what>
    Then the audit finds answered, lost and nothing else

    Examples:
      | what                                                                 |
      | a request that was executed is not answered while its instance stops |
      | a request that was executed ends with its connection                 |

  Scenario: A request that crosses the end of its connection was not read
    Guards against violations that are reported for requests that no instance
    has read.
    Given records of 1 successful request of each kind
    When in the records a request that no upstream got ends with its connection
    Then the audit finds nothing

  Scenario Outline: Only its own upstream excuses that a stream breaks off
    Guards against an audit that takes the silence of an upstream, or a fault of
    another one, for the reason of the end.
    Given records of 1 successful request of each kind
    When in the records a stream that had begun breaks off
    And in the records <fault>
    Then the audit finds lost and nothing else

    Examples:
      | fault                       |
      | its upstream is silent      |
      | another upstream is cut off |

  Scenario Outline: A stream may break off with its upstream or at its deadline
    Guards against violations that are reported for the faults of upstreams.
    Given records of 1 successful request of each kind
    When in the records <what>
    And in the records <fault>
    Then the audit finds nothing

    Examples:
      | what                                               | fault                   |
      | a stream that had begun breaks off                 | its upstream is cut off |
      | a stream that had begun breaks off at its deadline | its upstream is silent  |

  Scenario: The fault of an upstream is no excuse for a missing answer
    Guards against an audit that excuses the instance by a fault of an upstream,
    after which it can still answer that the request has failed.
    Given records of 1 successful request of each kind
    When in the records a caller waits in vain for the first event of a stream
    And in the records its upstream is cut off
    Then the audit finds answered and nothing else

  Scenario Outline: A busy machine excuses only that an answer is late
    Guards against violations that are reported for late answers on a busy
    machine, and against an audit that excuses a broken stream by it.
    Given records of 1 successful request of each kind
    When in the records <what>
    And in the records its instance waits for a processor
    Then the audit finds <found>

    Examples:
      | what                                                            | found                 |
      | the answer to an unsafe request comes 0.01 s after its deadline | nothing               |
      | a stream that had begun breaks off                              | lost and nothing else |

  Scenario: A pause of the soak's own process excuses times measured in it
    Guards against violations that are reported because the soak was late.
    Given records of 1 successful request of each kind
    When in the records a request that was executed is not answered while its instance stops
    And in the records the soak's own process was paused meanwhile
    Then the audit finds nothing

  Scenario: A failed request that its instance did not log is found
    Guards against an audit that misses failures without a log line.
    Given records of 1 successful request of each kind
    When a request is refused and its instance logs nothing
    Then the audit of the logs finds log for the safe request

  Scenario: A request whose connection was closed after it was read is found
    Guards against an audit that takes a request that its instance has read for
    one that crossed the end of its connection.
    Given records of 1 successful request of each kind
    When in the records a request that no upstream got ends with its connection
    And its instance has logged it
    Then the audit of the logs finds answered for the unsafe request

  Scenario: Signals during the shutdown of an instance lose no request
    Guards against a shutdown in which signals are no longer handled, so that a
    second SIGTERM or a SIGHUP ends the process at once. Seed 501 with 30 faults
    showed this fault.
    When the soak runs seed 501 with 6 faults "relay signalled while it stops"
    Then no guarantee is violated

  Scenario: Silent upstreams and changing idle limits end no answer
    Guards against requests without an answer when upstreams accept requests and
    send nothing, and against connections that an earlier idle limit closes
    after their next request was read. Incident inc-lost showed this fault.
    When the soak runs seed 3003 with 8 faults "workers silent,workers never answer,idle limit changes"
    Then no guarantee is violated

  Scenario: Crashing parts and answers without framing or end
    Guards against engines that crash one after the other under requests with
    one part, and against answers that end with their connection, or never.
    Incident inc-budget showed these faults.
    When the soak runs seed 9001 with 6 faults "part crashes engines,workers misbehave"
    Then no guarantee is violated

  Scenario: Workers that say that they leave or ask for a pause
    Guards against requests that go on reaching such workers, and against
    refusals and retries in their place that violate another guarantee.
    Incident inc-leaving-and-rest showed this fault.
    When the soak runs seed 9501 with 8 faults "worker says that it leaves,workers ask for a pause,worker crashed"
    Then no guarantee is violated

  Scenario: Workers that name a rate limit
    Guards against requests beyond the limits, and against refusals and retries
    in their place that violate another guarantee. Incident inc-rate-limit
    showed this fault.
    When the soak runs seed 9701 with 4 faults "workers name a rate limit"
    Then no guarantee is violated

  Scenario Outline: Workers that answer twice
    Guards against a second answer that is taken for the answer to another
    sending of its request, or to another stage call. Incident
    inc-second-answer showed this fault.
    When the soak runs seed <seed> with 3 faults "workers answer twice"
    Then no guarantee is violated

    Examples:
      | seed |
      | 5204 |
      | 5206 |

  Scenario: Workers spoil their answers
    Guards against a success that no upstream has signed; the seed showed 202 and
    others at callers of streams (inc-unsigned-success).
    When the soak runs seed 10601 with 6 faults "workers spoil answers"
    Then no guarantee is violated

  Scenario: A worker is removed after connections to the store went silent
    Guards against requests to a worker that is gone; the seed showed them up to
    1.2 s late (inc-late-removal).
    When the soak runs seed 10701 with 1 faults "worker removed behind silence"
    Then no guarantee is violated

  Scenario: Clients keep to no limit
    Guards against a process that uses more memory than its machine has; the seed
    showed 204 MB of 160 (inc-caller-memory).
    When the soak runs seed 12001 with 6 faults "clients keep to no limit"
    Then no guarantee is violated

  Scenario: Workers that are cold
    Guards against requests beyond what cold workers take from all instances
    together, after a restart under their names as well.
    When the soak runs seed 9901 with 4 faults "workers are cold"
    Then no guarantee is violated

  Scenario: The store comes back from copies
    Guards against changes of a new era that are taken for older ones, and
    against upstreams and documents that the copy brings back.
    When the soak runs seed 9801 with 6 faults "store comes back from a copy,worker leaves,configuration changes"
    Then no guarantee is violated

  Scenario Outline: A short run of a fixed seed violates no guarantee
    Guards against violations under a mix of all kinds of faults.
    When the soak runs seed <seed>
    Then no guarantee is violated

    Examples:
      | seed |
      | 1    |
      | 2    |
