Feature: Decisions of a relay instance
  Guards against retries beyond the fleet's budget, requests with the same prompt
  prefix at different engines, use of engines that make no progress and of failure
  domains that a partition cut off, streams cut off inside an event, and logs that
  block the process or drop lines without notice.

  Scenario: Added attempts stay within this instance's share of the retry budget
    Load pattern: clients that retry at once while every attempt fails.
    Given a retry budget of 0.2 a request plus 54 shared in 10 s
    When 100 requests arrive at 0 and each asks for an added attempt among 7 instances
    Then at most 16 are granted
    And none is granted at 5
    And one is granted at 11 after 20 more requests

  Scenario: Only complete events are forwarded
    Guards against a half event that the next engine's events are appended to.
    Given the stream "id: 1|data: a||id: 2|da" arrives in chunks of 3 bytes
    Then the events up to 1 are forwarded
    And an unfinished event is buffered

  Scenario: Every instance chooses the same home for a prefix
    Guards against a prefix that several engines cache because each instance
    sends it to another one.
    Given engines a, b, c and two instances with different histories
    Then both choose the same home for 50 prefixes
    And the homes are spread over a, b, c

  Scenario: A shared prompt goes to its home although another engine is idle
    Guards against a small difference in load that outweighs a cached prompt.
    Given engines a, b, c and two instances with different histories
    When the home of a prefix of 13300 tokens has 3 requests
    Then the request goes to the home

  Scenario: A request avoids a home with a long queue of unread prompts
    Load pattern: many users ask about one thing.
    Given engines a, b, c and two instances with different histories
    When the home of a prefix of 13300 tokens has 60000 tokens to read
    Then the request goes elsewhere

  Scenario: An engine that lacks a prefix fetches it from its home
    Load pattern: many users ask about one thing, so that requests avoid its
    home, and other engines would read the same prompts again.
    Given engines a, b, c and two instances with different histories
    When the home of a prefix of 13300 tokens has 60000 tokens to read
    Then the engine that gets the request fetches the prefix from the home

  Scenario: An engine fetches a prefix from any engine that got it
    Guards against a prompt that is read again although another engine than the
    home has it cached.
    Given engines a, b, c and two instances with different histories
    When another engine than the home was sent a prefix of 13300 tokens
    Then the home fetches the prefix from that engine

  Scenario Outline: A short prefix, or one of a failed engine, is not fetched
    Given engines a, b, c and two instances with different histories
    When <what>
    Then the engine that gets the request reads the prompt itself

    Examples:
      | what                                                      |
      | the home of a prefix of 900 tokens has 60000 tokens to read |
      | a request at the home of a prefix fails at 0              |

  Scenario: The load reported by peers counts for a time
    Guards against instances that all choose the same busy engine, and against
    an old report that keeps requests away from an engine.
    Given engines a, b, c and two instances with different histories
    When a peer reports that the home of a prefix of 13300 tokens has 60000 tokens to read
    Then the request goes elsewhere
    And 2 s later it goes to the home

  Scenario: An engine that failed is avoided for a time
    Guards against requests that fail at the same engine one after another.
    Given engines a, b, c and two instances with different histories
    When a request at the home of a prefix fails at 0
    Then the request goes elsewhere
    And 1 s later it goes to the home

  Scenario: Without a cached prefix the engine is chosen near large results
    Guards against large results that move between failure domains.
    Given engines a, b, c and two instances with different histories
    Then a request without prefix and with 9 MB of results in the domain of c goes to c

  Scenario Outline: When a failure domain counts as cut off
    Guards against calls into a partition, and against the loss of a domain in
    which only the instances, or only one upstream, have failed.
    Given the instances of izola are <instances> and the last call there was <call>
    Then the upstreams of izola are <used>

    Examples:
      | instances   | call       | used     |
      | unreachable | unanswered | left out |
      | unreachable | answered   | used     |
      | reachable   | unanswered | used     |

  Scenario: Upstreams that are cut off are used when there are no others
    Guards against a wrong assumption that stops all work.
    Given the instances of izola are unreachable and the last call there was unanswered
    Then the upstreams of izola are used when there are no others

  Scenario: A request is admitted if its stages fit into its time
    Given stages of 0.3 s each and queue waits of 0.1 s
    Then a request with a target of 1.5 s is admitted

  Scenario: A request is refused because of a long queue at a later stage
    Load pattern: scale-1 at kabine-obala, where a worker of the second stage
    leaves and hundreds of pieces wait for it.
    Given stages of 0.3 s each and queue waits of 0.1 s
    And the second stage has a queue wait of 6 s
    Then a request with a target of 1.5 s is 2.85 s too late

  Scenario Outline: The Retry-After of a refusal lasts until the overload may end
    Load pattern: trouble-2 at kabine-obala, where bursts last for seconds and
    callers that retried at once were refused for good.
    Then a request that is <excess> s too late and whose caller leaves in <stays> s is to be retried after <after> s

    Examples:
      | excess | stays | after |
      | 0.1    | 6.0   | 1.8   |
      | 3.0    | 6.0   | 3.0   |
      | 0.1    | 0.5   | 0.3   |

  Scenario: An old report of a queue wait is ignored
    Guards against requests that are refused because of a queue that has become short.
    Given stages of 0.3 s each and queue waits of 0.1 s
    And the second stage has a queue wait of 6 s
    When 2 s pass
    Then a request with a target of 1.5 s is admitted

  Scenario: A restarted instance counts as another one
    Guards against a late message of the process before the restart.
    Given a peer with incarnation 1 that sent a heartbeat at 0
    When the peer sends a heartbeat with incarnation 2 at 0.5
    Then incarnation 1 is unreachable and incarnation 2 is reachable
    And a late heartbeat of incarnation 1 changes nothing

  Scenario: A restarted instance is accepted after its clock was set back
    Guards against a restarted instance that is ignored since its incarnation,
    which is its start time, is lower than the previous one.
    Given a peer with incarnation 5 that sent a heartbeat at 0
    When the peer sends a heartbeat with incarnation 3 at 2
    Then state of incarnation 5 forwarded by others at 2.1 changes nothing
    And incarnation 3 is reachable at 2.2

  Scenario: A peer without recent heartbeats schedules no pool
    Guards against pieces that are submitted to an instance that has failed.
    Given a peer with incarnation 1 that sent a heartbeat at 0
    Then it may schedule a pool at 0.9
    And it may not schedule a pool at 1.2

  Scenario: A leaving peer schedules no pool
    Guards against pieces that are submitted to an instance that will stop.
    Given a peer with incarnation 1 that sent a heartbeat at 0
    When its heartbeat reports that it is leaving at 0.5
    Then it may not schedule a pool at 0.6

  Scenario: The log never blocks and reports how many lines it dropped
    Guards against an instance that stops because nothing reads its log, and
    against warnings lost among many other lines.
    Given a full log pipe that is not read
    When 5000 lines and then 100 warnings are logged
    Then nothing blocks
    And at most 2000 lines are buffered, the warnings among them
    When the pipe is read again
    Then the number of dropped lines is logged

  Scenario: The log goes on after more than 1 MiB was not read
    Guards against a log that stays silent for good after its reader has paused.
    Given a log whose reader has paused while 1400 lines of 1000 bytes came
    When the reader goes on
    Then all of these lines arrive
    And so does one that is logged then

  Scenario: Instances of a large fleet receive each other's state through others
    Load pattern: 84 instances of which each sends heartbeats to 6 others.
    Given a table of 84 peers with state forwarded by others at 0
    Then 84 of them are reachable at 2.5
    And 0 of them are reachable at 3.5

  Scenario: A peer that did not answer schedules no pool for a time
    Guards against requests that time out one after another at the same peer.
    Given a peer with incarnation 1 that sent a heartbeat at 0
    When it does not answer at 0.2
    Then it may not schedule a pool at 0.5
    And after it answers at 0.6 it may schedule a pool

  Scenario Outline: The speed of engines is learned from their first events
    Guards against figures of one site: the choice of an engine and the time
    that stages may take follow how fast the engines of the pool are.
    Given engines that read <speed> tokens/s and need <fixed> s beside that
    When 400 requests of 500 to 15000 unread tokens get their first event
    Then the reading speed is known to within a fifth
    And nine in ten first events come within the expected time

    Examples:
      | speed  | fixed |
      | 220000 | 0.05  |
      | 55000  | 0.1   |
      | 14000  | 0.4   |

  Scenario: An overloaded event loop is noticed, and when it has recovered
    Guards against requests that wait in a process whose mean load is low.
    Given a monitor of the event loop
    When 12 tasks run 0.15 s late
    Then the loop is overloaded
    When 12 tasks run 0.07 s late
    Then the loop is overloaded
    When 12 tasks run 0.01 s late
    Then the loop is not overloaded

  Scenario: Pools are scheduled by instances with fast links
    Guards against the messages of a pool on a slow link.
    Given a table of 84 peers with state forwarded by others at 0
    When 60 of them have a link of 5 Mbit/s and the others 100 Mbit/s
    Then the first 24 schedulers of every pool have fast links

  Scenario: Requests of accounts with one priority are ordered by their routes
    Load pattern: a pool that is short of upstreams while every account has the
    same priority; the most urgent routes were served like the least urgent.
    Given requests of these accounts and routes
      | request | account priority | route priority |
      | a       | 1                | 2              |
      | b       | 1                | 0              |
      | c       | 0                | 9              |
      | d       |                  | 0              |
    Then their order in the queues is d, c, b, a
