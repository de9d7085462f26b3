Feature: What waits when an instance that shuts down reaches its limit
  Guards against a process that ends while requests that it has read have no
  answer (LOST, inc-drain-limit).

  Scenario Outline: A request that waits at the limit gets its answer
    Given a relay that is to shut down with 1 engines, and <where>
    When a caller sends a <route> request 2.4 s after SIGTERM
    Then it gets <result> between 7.2 s and 7.6 s after SIGTERM
    And the instance has ended before it is killed after 8 s

    Examples:
      | route  | where                                  | result                |
      | unsafe | an upstream that never answers         | 502 may_have_run      |
      | safe   | an upstream that never answers         | 502 may_have_run      |
      | stream | an engine that never answers           | 502 may_have_run      |
      | resume | an engine that never answers           | 502 may_have_run      |
      | staged | a stage upstream that never answers    | 503 not_run           |
      | stream | an engine that stops after 2 events    | the events 1 to 2 and no end |
      | unsafe | a caller that sends its body for 5.5 s | 503 not_run           |

  Scenario: An answer that ends before the limit is delivered
    Guards against a request that is ended although its upstream answers in time.
    Given a relay that is to shut down with 1 engines, and an upstream that answers after 4.5 s
    When a caller sends a unsafe request 2.4 s after SIGTERM
    Then it gets its whole answer
    And the instance has ended before it is killed after 8 s

  Scenario: An answer that is complete at the limit is delivered
    Guards against a complete answer that is cut off since its caller reads it
    slowly.
    Given a relay that is to shut down with 1 engines, and an upstream that answers after 4.8 s
    When a caller that takes 0.15 s to read each part sends a unsafe request 2.4 s after SIGTERM
    Then it gets its whole answer
    And the instance has ended before it is killed after 8 s

  Scenario: A request that crosses the end of the drain is refused
    Guards against a request on a connection that rested which is read, and gets
    no answer since the process ends (soak seed 10044).
    Given a relay that is to shut down with 1 engines, and callers that keep their connections
    When a caller that takes 0.05 s to read each part sends a request as the server stops
    Then it gets 503 not_run before the instance has ended

  Scenario: A scheduler that shuts down returns the pieces of a call that fails
    Guards against pieces that wait at an instance until it ends, and then until
    their submitter finds it unreachable.
    Given relay instances one, two, three with 2 stage upstreams and an engine
    And a stage upstream that is silent for 30 s in its first call
    When the scheduler shuts down just after another instance got a staged request
    Then no piece waits at the scheduler 1.1 s after SIGTERM
    And every caller gets an answer
