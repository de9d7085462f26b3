Feature: Stages across instances
  Guards against pieces lost with the instance that schedules a pool, stages
  executed for callers that have disconnected, and instances that apply an old
  document.

  Scenario: The stages of a request are executed in order by one scheduler
    Guards against stages that start before their inputs are made, several
    schedulers of one pool, and results that occupy memory for ever.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    When a caller sends a staged request with 1,2 pieces to each instance
    Then every caller gets an answer
    And the engine got the results of the last stage of each request
    And only one instance schedules the pool
    And pieces of different requests shared a call
    And every result was released

  Scenario: Results are released while the engine reads its prompt
    Guards against results that are kept until the first event. In a burst of
    requests with large results, their memory is needed for the next requests
    long before the first event of a long prompt.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    And an engine that answers after 1 s
    When a caller sends a staged request with 1,2 pieces to each instance
    Then every caller gets an answer
    And every result was released
    And the last release came within 0.3 s of the last request to the engine

  Scenario: The results of a resumable stream are released at its first event
    Guards against results that are kept until a long stream ends. In quiet-1
    at kwagga-groove, a burst of requests with large results waited up to 2 s
    for memory that the inputs of running streams occupied.
    Given relay instances one with 2 stage upstreams and an engine
    And an engine that sends an event each 0.9 s
    When a caller sends a staged request of a route that may be resumed
    Then every caller gets an answer
    And every result was released
    And the last release came within 0.3 s of the last request to the engine

  Scenario: A stream is resumed after its inputs were released
    Guards against a second engine that is sent results which are gone.
    Given relay instances one with 2 stage upstreams and an engine
    And an engine whose stream breaks off after its first event
    When a caller sends a staged request of a route that may be resumed
    Then every caller gets an answer
    And each piece was made 2 times

  Scenario: A stage upstream answers a call with the answer to an earlier one
    Guards against a request that gets the results of another one.
    Given relay instances one with 1 stage upstreams and an engine
    And a stage upstream that answers its second call like its first
    When a caller sends a staged request with 2,2 pieces to each instance
    Then every caller gets an answer
    And the engine got the results of the last stage of each request

  Scenario: An engine lacks a result of the stages
    Guards against the refusal of a request that can still be served.
    Given relay instances one with 2 stage upstreams and an engine
    And an engine that lacks a result 1 times
    When a caller sends a staged request with 1,2 pieces to each instance
    Then every caller gets an answer
    And each piece was made 2 times

  Scenario: Every engine lacks a result of the stages
    Guards against repeating the stages, and calling an engine, for ever.
    Given relay instances one with 2 stage upstreams and an engine
    And an engine that lacks a result 9 times
    When a caller sends a staged request with 1,2 pieces to each instance
    Then every caller is refused with 503
    And each piece was made 2 times

  Scenario Outline: The scheduler of a pool is lost
    Guards against pieces that are lost with the scheduler that queued them.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    When the scheduler <fate> 0.1 s after a caller of another instance sent a staged request
    Then every caller gets an answer

    Examples:
      | fate                |
      | is killed           |
      | is cut off          |
      | starts to shut down |

  Scenario: A scheduler that shuts down returns its queued pieces
    Guards against pieces that wait at a stopped instance until their submitter
    detects that it is unreachable.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    When the scheduler starts to shut down 0.1 s after a caller of another instance sent a staged request with 20,2 pieces
    Then no piece waits there any more
    And every caller gets an answer

  Scenario: Each side of a partition executes the stages of its requests
    Guards against an instance that waits for a scheduler beyond the partition.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    When instance one is cut off from the others for 5 s
    And a caller sends a staged request with 1,2 pieces to each instance
    Then every caller gets an answer

  Scenario: The caller disconnects before its stages are complete
    Guards against calls for a request that nobody waits for, and against its
    results occupying memory.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    When a caller sends a staged request with 20,1 pieces and disconnects after 0.1 s
    Then no call is made after it disconnected
    And every result was released
    And no engine is called

  Scenario Outline: Requests that would wait too long are refused at once
    Guards against calls for requests that are refused in the end, in a burst of
    four times the capacity of the stage, and in one that is over before the
    scheduler has reported its queue wait.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When 60 callers send staged requests with 4,1 pieces over <time> s
    Then some are refused within 0.1 s as not run, with a time to retry after
    And no request that was refused had a piece called

    Examples:
      | time |
      | 1    |
      | 0.05 |

  Scenario: An instance cut off from the registry gets the document from a peer
    Guards against an old document that stays in force while the registry is
    unreachable.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When the registry is unreachable for instance two and version 8 is published
    Then instance two has version 8 within 2 s

  Scenario: An older document never replaces a newer one
    Guards against instances that fall back to a document read late.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When version 9 is published, and then version 8
    Then every instance has version 9

  Scenario: An instance that starts without the registry gets the document from a peer
    Guards against an instance that stays without a document until the registry
    is reachable again.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When the registry is unreachable and instance four starts
    Then instance four has the document within 2 s

  Scenario: An instance without the registry gets the upstreams from its peers
    Guards against refusals by instances that are restarted in turn while the
    registry is unreachable. They refused every caller until it was reachable
    again (inc-4e19 at ramdin-logbook).
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When the registry is unreachable, instance four starts, and a caller sends it a request
    Then every caller gets an answer

  Scenario: A peer's upstreams arrive after the registry was read again
    Guards against an upstream that was removed and is listed for good, since a
    peer that was asked before still had it.
    Given relay instances one, two with 2 stage upstreams and an engine
    When the upstreams of a peer arrive at instance one after the registry, which lacks s2 by then
    Then instance one lists s1 and not s2

  Scenario: A new upstream is read from a peer without the registry
    Guards against an instance that sends nothing to upstreams that were listed
    after it lost the registry.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When the registry is unreachable for instance one and upstream late is listed
    Then instance one has upstream late within 2 s

  Scenario: A large fleet that starts at once agrees on its schedulers
    Guards against several schedulers of one pool after a start of all machines.
    In trouble-2 at kabine-obala-grown, where all 84 machines lose power, dozens
    of instances scheduled the same pools for seconds and called the same
    upstreams, and half of all calls were in vain.
    Given 40 relay instances with 1 stage upstreams and an engine
    When all of them start at the same moment
    Then all of them choose the same scheduler within 1 s

  Scenario: Instances that start at once wait for each other
    Guards against a scheduler of each pool in every instance. After all
    processes were killed at kwagga-groove, seven instances scheduled the same
    pool, and two thirds of their calls were refused for two seconds.
    Given relay instances one, two, three, four, five with 1 stage upstreams and an engine
    When all of them start at once and each gets a staged request at once
    Then every caller gets an answer
    And only one instance schedules the pool

  Scenario: A new scheduler waits for memory that results of another one fill
    Guards against calls whose pieces all fail for lack of memory. After a
    restart of all instances at kwagga-groove, 300 pieces failed in the four
    seconds for which the results from before were stored.
    Given relay instances one with 1 stage upstreams and an engine
    When a caller sends a staged request while the stage upstream is full for 1.5 s
    Then every caller gets an answer
    And no stage call was made in the first 1.5 s

  Scenario: A watch on a dead connection is renewed when peers are ahead
    Guards against connections that stop answering for good, which only a
    timeout can detect.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When the watch of instance one stops answering and upstream late is listed
    Then instance one has upstream late within 2 s

  Scenario: The state of an upstream is removed with its entry
    Guards against state of upstreams that lapsed while the registry was
    unreachable. It would accumulate, and a new upstream of the same name would
    get it.
    Given relay instances one with 1 stage upstreams and an engine
    When the engine's entry lapses while the registry is unreachable for 1 s
    Then no state of the engine is left

  Scenario Outline: Stage upstreams fall silent for ever
    Guards against a caller that gets neither an answer nor a refusal: a stage
    call that was not answered ended after <bound>, when the caller had left.
    Given relay instances one with 2 stage upstreams and an engine
    And stage upstreams that answer <answers> calls after 0.9 s, then none
    When a caller with a deadline of <deadline> ms sends a staged request after <answers> others
    Then it is refused with 503 as not run, 0.2 s before it leaves

    Examples:
      | answers | deadline | bound                      |
      | 0       | 900      | its least bound of 1 s     |
      | 8       | 12000    | three times its usual time |

  Scenario: A submitter is silent when its pieces are too late
    Guards against calls for all callers that wait until the silent instance
    has been told, and so against refusals for want of time.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When a submitter falls silent whose pieces become too late, and another one submits a piece just after that
    Then the caller of the other one gets an answer within 0.5 s

  Scenario Outline: A submitter is silent when results are delivered to it
    Guards against results that are dropped, or released at the upstream while
    the submitter still needs them, because of a second of silence. Nothing was
    submitted again, since heartbeats of others told the submitter that its
    scheduler runs, and the caller got neither an answer nor a refusal.
    Given 20 relay instances with 1 stage upstreams and an engine
    When <fault> for 1.2 s, 0.1 s after a caller sent a staged request
    Then every caller gets an answer
    And each piece was made 1 times
    And no result was released before the engine was called

    Examples:
      | fault                                        |
      | the submitter and the scheduler are cut off  |
      | the submitter gets no message and sends none |

  Scenario: The acknowledgement of results is lost
    Guards against a scheduler that delivers results again, is told that nobody
    waits for them, and releases what the next stage is about to read.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When the first acknowledgement of results is lost after a caller sent a staged request
    Then every caller gets an answer
    And each piece was made 1 times
    And no result was released before the engine was called

  Scenario Outline: A scheduler whose acknowledgement was lost sends results
    Guards against a failure at one scheduler that counts as one at the next, to
    which the pieces were submitted since: the request is refused while they are
    made there.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When a scheduler does not acknowledge pieces and then says they <failed>
    Then every caller gets an answer
    And each piece was made 1 times

    Examples:
      | failed                 |
      | failed: late           |
      | failed: denied         |
      | failed: error          |
      | failed: quarantined    |

  Scenario: A scheduler whose acknowledgement was lost makes the pieces
    Guards against results that are thrown away while the request waits.
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When a scheduler makes pieces that it did not acknowledge
    Then every caller gets an answer
    And the next stage got the results that were made first

  Scenario: A stage upstream is silent while the retry budget is used up
    Guards against a request that is refused after a second of silence of an
    upstream which then answers.
    Given relay instances one with 1 stage upstreams and an engine
    And no retry budget
    And a stage upstream that is silent for 1.2 s in its first call
    When a caller sends a staged request with 1,2 pieces to each instance
    Then every caller gets an answer
    And each piece was made 1 times

  Scenario: A stage upstream stays silent while the retry budget is used up
    Guards against a request that is held until its caller leaves, with no
    retry in sight.
    Given relay instances one with 1 stage upstreams and an engine
    And no retry budget
    And a stage upstream that is silent for 60 s in its first call
    When a caller sends a staged request with 1,2 pieces to each instance
    Then every caller is refused within 2 s

  Scenario: A stage upstream that starts again gives out its handles again
    Guards against calls that all count as answers of other calls: no stage was
    executed any more after both upstreams had restarted under their names
    (soak, seed 9203 with 12 faults in 15 s and 16 callers).
    Given relay instances one with 1 stage upstreams and an engine
    When the stage upstream numbers its handles and starts again between two requests
    Then every caller gets an answer

  Scenario: Results for an instance's former start are not taken for new requests
    Guards against a request that reads the results of another one: submissions
    were numbered from 1 after each start, and their scheduler sends results
    until they are accepted (found by kabine-obala, herd_kill beside crashing
    engines, seed 31).
    Given relay instances one, two, three with 1 stage upstreams and an engine
    When an instance is killed while its stage call lasts, and starts again with another request
    Then neither stages nor the engine read results of the earlier request
