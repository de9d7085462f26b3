Feature: Forwarding of requests
  Guards against requests that run twice, false verdicts, answers of other
  requests, cut off answers that look complete, and work for callers that have
  disconnected.

  Scenario Outline: Which requests are retried after a failure
    Guards against a second run of an unsafe request that may have run, against
    a failure that a retry would have hidden, and against an answer that belongs
    to another request or is incomplete.
    Given a relay with the plain upstreams a, b
    And the first upstream that is called fails with "<failure>"
    When a caller sends a <kind> request
    Then it gets <status> and <count> upstreams got the request
    And the verdict is "<verdict>"

    Examples:
      | failure              | kind   | status | count | verdict      |
      | refused connection   | unsafe | 200    | 1     |              |
      | refused connection   | safe   | 200    | 1     |              |
      | reset                | safe   | 200    | 2     |              |
      | reset                | unsafe | 502    | 1     | may_have_run |
      | no answer            | safe   | 200    | 2     |              |
      | no answer            | unsafe | 504    | 1     | may_have_run |
      | 503 not executed     | safe   | 200    | 2     |              |
      | 503 not executed     | unsafe | 200    | 2     |              |
      | other request's id   | safe   | 200    | 2     |              |
      | other request's id   | unsafe | 502    | 1     | may_have_run |
      | no request id        | safe   | 200    | 2     |              |
      | no request id        | unsafe | 502    | 1     | may_have_run |
      | no signature         | unsafe | 502    | 1     | may_have_run |
      | truncated            | unsafe | 502    | 1     | may_have_run |
      | truncated            | safe   | 200    | 2     |              |
      | 500                  | unsafe | 500    | 1     |              |
      | 500                  | safe   | 200    | 2     |              |
      | 503 without a reason | unsafe | 503    | 1     |              |

  Scenario Outline: A success that its upstream has not signed reaches no caller
    Guards against a spoiled answer that a caller takes for a success, whatever
    its status is, or that is taken for a refusal, so that a request that may
    have run is sent again (MIXED, TWICE, inc-unsigned-success).
    Given a relay with the <pool> a, b
    And the first upstream that is called answers <status> <how>
    When a caller sends a <kind> request
    Then it gets <result> and 1 upstreams got the request
    And the verdict is "may_have_run"

    Examples:
      | pool            | kind   | status | how                        | result |
      | engines         | stream | 200    | without a signature        | 502    |
      | engines         | stream | 201    | without a signature        | 502    |
      | engines         | stream | 202    | without a signature        | 502    |
      | engines         | stream | 204    | without a signature        | 502    |
      | engines         | stream | 206    | without a signature        | 502    |
      | engines         | stream | 299    | without a signature        | 502    |
      | engines         | stream | 202    | with an empty signature    | 502    |
      | engines         | stream | 202    | unsigned, "not executed"   | 502    |
      | engines         | stream | 200    | unsigned, "not executed"   | 502    |
      | plain upstreams | unsafe | 200    | without a signature        | 502    |
      | plain upstreams | unsafe | 202    | without a signature        | 502    |
      | plain upstreams | unsafe | 204    | without a signature        | 502    |
      | plain upstreams | unsafe | 202    | with an empty signature    | 502    |
      | plain upstreams | unsafe | 202    | unsigned, "not executed"   | 502    |
      | plain upstreams | unsafe | 200    | unsigned, "not executed"   | 502    |

  Scenario: A stream is not continued by a success that is not signed
    Guards against a spoiled answer that ends a stream as complete
    (inc-unsigned-success).
    Given a relay with the engines a, b
    And the engine sends the events 1 to 2 and is cut off
    And the first upstream that is called answers 202 without a signature
    When a caller sends a resume request
    Then it gets the events 1 to 2 and no end

  Scenario Outline: A signed success of any status is passed on as it is
    Guards against an answer of an upstream that is withheld since its status is
    not 200.
    Given a relay with the <pool> a, b
    And the first upstream that is called answers <status> with a signature
    When a caller sends a <kind> request
    Then it gets <status> and 1 upstreams got the request
    And its answer is the upstream's

    Examples:
      | pool            | kind   | status |
      | engines         | stream | 202    |
      | engines         | resume | 206    |
      | plain upstreams | unsafe | 202    |
      | plain upstreams | safe   | 204    |

  Scenario Outline: A request that has run is not refused as not run
    Guards against a false verdict: an earlier upstream ran the request, which
    the last one did not.
    Given a relay with the <pool> a, b
    And the first upstream that is called fails with "<failure>"
    And then every upstream is full
    When a caller sends a <kind> request
    Then it is answered <status>

    Examples:
      | pool            | failure | kind   | status |
      | plain upstreams | 500     | safe   | 500    |
      | plain upstreams | reset   | safe   | 502    |
      | engines         | reset   | resume | 502    |

  Scenario: An engine whose address belongs to another one is avoided for a time
    Load pattern: engines crashed while the registry was unreachable, other
    upstreams got their addresses, and requests used up the retry budget there
    (inc-098a).
    Given a relay with the engines a, b
    And the address of a belongs to another upstream
    When a caller sends 8 stream requests of different sessions
    Then all are answered and a was called 1 times

  Scenario: A connection that is reset during setup does not end the process
    Found by the soak, seed 632 with 25 faults in 20 s: the process ended with
    an AttributeError, since httpcore sets options of a closed socket.
    Given a connection that was reset before its options were set
    Then the call fails as not connected

  Scenario: A request that no upstream accepted is refused as not run
    Guards against a verdict or a lack of Retry-After that keeps the caller from
    a safe retry.
    Given a relay with the plain upstreams a, b
    And every upstream is down
    When a caller sends a unsafe request
    Then it gets 503 and 0 upstreams got the request
    And the verdict is "not_run"
    And it gets a Retry-After

  Scenario Outline: A request that may have run is not refused as not run
    Guards against a refusal by full upstreams that hides an earlier attempt.
    Given a relay with the plain upstreams a, b
    And the first upstream that is called fails with "reset"
    And then every upstream is full
    When a caller sends a <kind> request
    Then it gets 502 and <count> upstreams got the request
    And the verdict is "may_have_run"

    Examples:
      | kind   | count |
      | unsafe | 1     |
      | safe   | 2     |

  Scenario: A removed upstream gets no requests
    Given a relay with the plain upstreams a, b
    When upstream a is removed from the registry
    And a caller sends 10 unsafe requests
    Then only upstream b got requests

  Scenario: A request with an unknown key is refused
    Given a relay with the plain upstreams a
    When a caller sends a safe request with the key wrong
    Then it gets 401 and 0 upstreams got the request

  Scenario: An unknown key is not rejected if the document may be outdated
    Guards against a 401 for a key of a newer document, after which the caller
    would not retry.
    Given a relay with the plain upstreams a
    And the registry is unreachable for 5 s
    When a caller sends a safe request with the key wrong
    Then it gets 503 and 0 upstreams got the request

  Scenario: An instance without a document asks callers to retry
    Given a relay that has not read the registry
    When a caller sends a safe request
    Then it gets 503 and 0 upstreams got the request
    And it gets a Retry-After

  Scenario: A request that arrives late in a shutdown is refused as not run
    Found by hunt, kabine-obala scale-1 --seed 307419640367: a request accepted
    7.3 s after SIGTERM was cut off when the process exited.
    Given a relay with the plain upstreams a
    And the instance is at the end of its shutdown
    When a caller sends a safe request
    Then it gets 503 and 0 upstreams got the request
    And the verdict is "not_run"
    And it gets a Retry-After

  Scenario: The attempt for a caller that disconnects is cancelled
    Guards against upstreams that work for callers that are no longer there.
    Given a relay with the plain upstreams a
    And the first upstream that is called fails with "no answer"
    When a caller sends a safe request and disconnects after 100 ms
    Then the request ends at 100 ms

  Scenario: The deadline of an attempt is the remaining time
    Guards against a retry that gets the full time of the request again.
    Given a relay with the plain upstreams a, b
    And the first upstream that is called fails with "reset"
    When a caller sends a safe request with a deadline of 900 ms
    Then each upstream got a deadline of at most 900 ms

  Scenario: A stream is forwarded up to its end
    Given a relay with the engines a
    And the engine sends the events 1 to 3 and ends
    When a caller sends a stream request
    Then it gets the events 1 to 3 and the end

  Scenario: A stream that is cut off is not resumed if its route forbids it
    Guards against a second run of a request, and an incomplete stream that
    looks complete.
    Given a relay with the engines a, b
    And the engine sends the events 1 to 2 and is cut off
    When a caller sends a stream request
    Then it gets the events 1 to 2 and no end
    And 1 upstreams got the request

  Scenario: A stream that is cut off is resumed at another engine
    Guards against events that are lost, repeated or sent on incomplete.
    Given a relay with the engines a, b
    And the engine sends the events 1 to 2 and is cut off inside event 3
    And the next engine sends the events 3 to 5 and ends
    When a caller sends a resume request
    Then it gets the events 1 to 5 and the end
    And the second engine was asked to resume after event 2

  Scenario: A stream without new events is resumed at another engine
    Guards against callers that disconnect while an engine hangs, and against
    two engines that work on one request at the same time.
    Given a relay with the engines a, b
    And the engine sends the events 1 to 2 and then nothing
    And the next engine sends the events 3 to 5 and ends
    When a caller sends a resume request
    Then it gets the events 1 to 5 and the end
    And the first engine's connection was closed before that

  Scenario: A stream request that a full engine refused goes to another one
    Given a relay with the engines a, b
    And the first upstream that is called fails with "503 not executed"
    And the next engine sends the events 1 to 2 and ends
    When a caller sends a stream request
    Then it gets the events 1 to 2 and the end

  Scenario: The log tells a caller that left a silent engine
    Guards against a request without an answer whose log doesn't show whether
    its engine was silent or its connection had rested too long (inc-lost).
    Given a relay with the engines a
    And the engine sends the events 1 to 2 and then nothing
    When a caller sends two stream requests on a connection and disconnects
    Then the log has the time for which the engine was silent
    And the log has the time for which the connection had rested

  Scenario Outline: A request to a silent upstream is refused while its caller waits
    Guards against a request that gets neither an answer nor a refusal: its
    upstream accepts it and sends nothing, and the caller leaves before the
    refusal (inc-lost).
    Given a relay with the <pool> a
    And the first upstream that is called fails with "no answer"
    When a caller sends a <kind> request
    Then it gets 504 and 1 upstreams got the request
    And the verdict is "may_have_run"
    And the refusal was sent before the caller stops waiting after <wait> ms

    Examples:
      | pool            | kind   | wait |
      | plain upstreams | unsafe | 1000 |
      | engines         | stream | 5200 |

  Scenario: A resumable stream whose engine sends no head goes on at another one
    Guards against a wait for the head of an answer that only the caller's
    disconnect ends, though the stream may be continued elsewhere (inc-lost).
    Given a relay with the engines a, b
    And the first upstream that is called fails with "no answer"
    And the next engine sends the events 1 to 3 and ends
    When a caller sends a resume request
    Then it gets the events 1 to 3 and the end
    And the refusal was sent before the caller stops waiting after 5200 ms

  Scenario Outline: A silent engine keeps a stream that no other one may continue
    Guards against a stream that is cut off since its engine is silent for a
    second, though nobody else continues it and the engine goes on (inc-lost).
    Given a relay with the engines <engines>
    And the retry budget of the engines is <budget>
    And the engine sends the events 1 to 2, is silent for <silent> s, and ends with event 3
    When a caller sends a <kind> request
    Then it gets the events 1 to 3 and the end
    And 1 upstreams got the request

    Examples:
      | engines | budget  | silent | kind   |
      | a, b    | used up | 1.2    | resume |
      | a, b    | free    | 1.2    | resume |
      | a, b    | used up | 4.0    | resume |
      | a, b    | free    | 4.0    | stream |

  Scenario Outline: A silent upstream keeps a request that no other has room for
    Guards against a request that is refused since its upstream is silent for
    some seconds, though the rate limits of all others leave no permit.
    Given a relay with the <pool> a, b
    And upstream b has a rate limit that leaves no permit
    And the <what>
    When a caller sends a <kind> request
    Then <answer>

    Examples:
      | pool            | what                                                               | kind   | answer                                     |
      | engines         | engine sends the events 1 to 2, is silent for 4.0 s, and ends with event 3 | resume | it gets the events 1 to 3 and the end |
      | plain upstreams | upstreams answer after 0.5 s                                       | safe   | it gets 200 and 1 upstreams got the request |

  Scenario: A stream goes to a third engine if the second one refuses it
    Guards against a stream that is cut off since the engine that should
    continue it is full and ran nothing, though another engine is free
    (inc-lost).
    Given a relay with the engines a, b, c
    And the engine sends the events 1 to 2 and is cut off
    And the next engine refuses the request as full
    And the next engine sends the events 3 to 5 and ends
    When a caller sends a resume request
    Then it gets the events 1 to 5 and the end

  Scenario: An engine that let a caller wait in vain is avoided for a time
    Guards against further requests at an engine that accepts them and sends
    nothing: a request that ended without an answer counted as its progress
    (inc-lost).
    Given a relay with the engines a, b
    And a never answers and b answers at once
    When a caller sends 8 stream requests of different sessions
    Then a was called 1 times

  Scenario: Engines that take long to a first event are busy, not silent
    Load pattern: 40 requests, 4 per second, to three engines that each send the
    first event after 3 s. Guards against engines that are given up in turn, so
    that hardly any request is answered in its caller's time.
    Given a relay with the engines a, b, c
    And each engine sends its first event after 3.0 s
    When 40 resume requests come 4 per second
    Then at least 38 are answered and the engines got at most 48 requests

  Scenario: A slow caller is no reason to leave its engine
    Guards against an event that is lost, since the time for which a caller does
    not read counted as a silence of the engine and its stream was resumed.
    Given a relay with the engines a, b
    And the engine sends the events 1 to 3 and ends
    When a caller that reads nothing for 2.6 s after event 1 sends a resume request
    Then it gets the events 1 to 3 and the end
    And 1 upstreams got the request

  Scenario: A silent engine keeps a stream whose stages cannot run again
    Guards against a stream that is cut off, since it was taken from its silent
    engine before its stages were executed again for the next one.
    Given a relay with the engines a, b
    And the engine sends the events 1 to 2, is silent for 4.0 s, and ends with event 3
    And a stage upstream that is lost when the stream has begun
    When a caller sends a request on the route staged-resume
    Then it gets the events 1 to 3 and the end
    And 1 upstreams got the request

  Scenario Outline: A slow answer is awaited when no other upstream may be asked
    Guards against a failure while the only upstream that may answer still works
    on the request.
    Given a relay with the plain upstreams <upstreams>
    And the retry budget of the plain pool is <budget>
    And the upstreams answer after 0.5 s
    When a caller sends a safe request
    Then it gets 200 and 1 upstreams got the request

    Examples:
      | upstreams | budget  |
      | a, b      | used up |
      | a         | free    |
