Feature: Decisions of a relay instance
  Guards against retries beyond the fleet's allowance, prefixes that wander
  between engines, engines that are silent, failure domains that a partition
  cut off, streams cut inside an event, and logs that block or lose silently.

  Scenario: Added attempts stay within the part of the instance
    Load pattern: clients that repeat at once while every attempt fails.
    Given an allowance of 0.2 a request and 54 beside in 10 s
    When 100 requests come at 0 and each asks for an added attempt among 7 instances
    Then at most 16 are granted
    And none is granted at 5
    And one is granted at 11 after 20 more requests

  Scenario: Events are passed on whole
    Given the stream "id: 1|data: a||id: 2|da" comes in pieces of 3 bytes
    Then the events up to 1 are passed on
    And an unfinished event is buffered

  Scenario: The home of a prefix is the same for every instance
    Given engines a, b, c and two instances with different histories
    Then both choose the same home for 50 prefixes
    And the homes are spread over a, b, c

  Scenario: A shared prompt goes to its home though another engine is idle
    Given engines a, b, c and two instances with different histories
    When the home of a prefix of 13300 tokens has 3 requests
    Then the request goes to the home

  Scenario: A home with a long queue of prompts is left
    Load pattern: many users ask about one thing.
    Given engines a, b, c and two instances with different histories
    When the home of a prefix of 13300 tokens has 60000 tokens to read
    Then the request goes elsewhere

  Scenario: An engine that lacks a prefix fetches it from its home
    Load pattern: many users ask about one thing, so that its home is left and
    other engines would read the same prompts again.
    Given engines a, b, c and two instances with different histories
    When the home of a prefix of 13300 tokens has 60000 tokens to read
    Then the engine that gets the request fetches the prefix from the home

  Scenario: An engine fetches a prefix from one that was sent it
    Given engines a, b, c and two instances with different histories
    When another engine than the home was sent a prefix of 13300 tokens
    Then the home fetches the prefix from that engine

  Scenario Outline: A prefix is not fetched
    Given engines a, b, c and two instances with different histories
    When <what>
    Then the engine that gets the request reads the prompt itself

    Examples:
      | what                                                      |
      | the home of a prefix of 900 tokens has 60000 tokens to read |
      | a request at the home of a prefix fails at 0              |

  Scenario: The load that peers tell counts
    Given engines a, b, c and two instances with different histories
    When a peer reports that the home of a prefix of 13300 tokens has 60000 tokens to read
    Then the request goes elsewhere
    And 2 s later it goes to the home

  Scenario: An engine that is silent or failed is left for a time
    Given engines a, b, c and two instances with different histories
    When a request at the home of a prefix fails at 0
    Then the request goes elsewhere
    And 1 s later it goes to the home

  Scenario: The engine is near large results when it holds nothing
    Given engines a, b, c and two instances with different histories
    Then a request without prefix and with 9 MB of results in the domain of c goes to c

  Scenario Outline: When a failure domain counts as cut off
    Given the instances of izola are <instances> and the last call there was <call>
    Then the upstreams of izola are <used>

    Examples:
      | instances   | call       | used     |
      | unreachable | unanswered | left out |
      | unreachable | answered   | used     |
      | reachable   | unanswered | used     |

  Scenario: Upstreams are used when all are cut off
    Given the instances of izola are unreachable and the last call there was unanswered
    Then the upstreams of izola are used when there are no others

  Scenario: A chain that fits its time begins
    Given stages of 0.3 s each and queue waits of 0.1 s
    Then a request with a target of 1.5 s is admitted

  Scenario: A chain behind a long queue at a later stage does not begin
    Load pattern: scale-1 at kabine-obala, where a worker of the second stage
    leaves and hundreds of pieces wait for it.
    Given stages of 0.3 s each and queue waits of 0.1 s
    And the second stage has a queue wait of 6 s
    Then a request with a target of 1.5 s is 2.85 s too late

  Scenario Outline: A refused request comes back when the overload may be over
    Load pattern: trouble-2 at kabine-obala, where bursts last for seconds and
    callers that came back at once were refused for good.
    Then a request that is <excess> s too late and whose caller leaves in <stays> s is to be retried after <after> s

    Examples:
      | excess | stays | after |
      | 0.1    | 6.0   | 1.8   |
      | 3.0    | 6.0   | 3.0   |
      | 0.1    | 0.5   | 0.3   |

  Scenario: Old word of a wait is forgotten
    Given stages of 0.3 s each and queue waits of 0.1 s
    And the second stage has a queue wait of 6 s
    When 2 s pass
    Then a request with a target of 1.5 s is admitted

  Scenario: An instance that starts anew is another one
    Given a peer with incarnation 1 that sent a heartbeat at 0
    When the peer sends a heartbeat with incarnation 2 at 0.5
    Then incarnation 1 is unreachable and incarnation 2 is reachable
    And a late heartbeat of incarnation 1 changes nothing

  Scenario: An instance that starts anew after its clock was set back is heard
    Given a peer with incarnation 5 that sent a heartbeat at 0
    When the peer sends a heartbeat with incarnation 3 at 2
    Then state of incarnation 5 forwarded by others at 2.1 changes nothing
    And incarnation 3 is reachable at 2.2

  Scenario: A silent peer keeps no queue
    Given a peer with incarnation 1 that sent a heartbeat at 0
    Then it may schedule a pool at 0.9
    And it may not schedule a pool at 1.2

  Scenario: A leaving peer keeps no queue
    Given a peer with incarnation 1 that sent a heartbeat at 0
    When its heartbeat reports that it is leaving at 0.5
    Then it may not schedule a pool at 0.6

  Scenario: The log never blocks and says what it left out
    Given a log whose reader stands still
    When 5000 lines and then 100 warnings are logged
    Then nothing blocks
    And at most 2000 lines wait, the warnings among them
    When the reader reads on
    Then the number of lines left out is logged

  Scenario: A large fleet hears of its members through others
    Load pattern: 84 instances of which each sends heartbeats to 6 others.
    Given a table of 84 peers with state forwarded by others at 0
    Then 84 of them are reachable at 2.5
    And 0 of them are reachable at 3.5

  Scenario: A peer that did not answer is left out for a time
    Given a peer with incarnation 1 that sent a heartbeat at 0
    When it does not answer at 0.2
    Then it may not schedule a pool at 0.5
    And after it answers at 0.6 it may schedule a pool

  Scenario: Queues are kept on fast links
    Given a table of 84 peers with state forwarded by others at 0
    When 60 of them have a link of 5 Mbit/s and the others 100 Mbit/s
    Then the first 24 schedulers of every pool have fast links

  Scenario: Accounts of the same priority leave the order to their routes
    Load pattern: a pool that is short of upstreams while every account has one
    priority; the most urgent routes were served like the least urgent.
    Given requests of these accounts and routes
      | request | account priority | route priority |
      | a       | 1                | 2              |
      | b       | 1                | 0              |
      | c       | 0                | 9              |
      | d       |                  | 0              |
    Then their order in the queues is d, c, b, a
