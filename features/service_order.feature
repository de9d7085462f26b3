Feature: Order of service of a stage pool
  Load patterns: bursts at a stage pool that several routes and client accounts
  share. Guards against an urgent route with time to spare that makes another
  one late, against an account that takes the room of all others, and against
  room that is left unused while pieces wait.

  Background:
    Given a stage pool of 4 upstreams with 8 pieces a call, 150 ms a call, 16 ms a piece

  Scenario Outline: A route with a short target is on time beside a burst of a more urgent one
    Load pattern: a burst of large requests (repayment-review at kciu), which
    have a second to spare, beside a less urgent route that has little.
    Given the order of service <order>
    When requests arrive for 8 s
      | route | priority | per_s | pieces | target_s |
      | large | 10       | 60    | 1      | 1.3      |
      | chat  | 11       | 40    | 1      | 0.45     |
    Then at least <chat> of the pieces of route chat are on time
    And at least 0.95 of the pieces of route large are on time

    Examples:
      | order    | chat |
      | deadline | 0.95 |

  Scenario: Without room for all, the less urgent route yields
    Given the order of service deadline
    When requests arrive for 12 s
      | route  | priority | per_s | pieces | target_s |
      | urgent | 10       | 80    | 1      | 1.0      |
      | other  | 12       | 120   | 1      | 1.0      |
    Then at least 0.95 of the pieces of route urgent are on time
    And the pool serves at least 0.95 of its room

  Scenario: An account with six times its usual does not displace the others
    Given the order of service deadline
    When requests arrive for 12 s
      | route | account | priority | per_s | pieces | target_s |
      | chat  | large   | 11       | 120   | 1      | 0.9      |
      | chat  | a       | 11       | 20    | 1      | 0.9      |
      | chat  | b       | 11       | 20    | 1      | 0.9      |
      | chat  | c       | 11       | 20    | 1      | 0.9      |
    Then at least 0.95 of the pieces of account a are on time
    And at least 0.95 of the pieces of account b are on time
    And at least 0.95 of the pieces of account c are on time
    And the pool serves at least 0.95 of its room

  Scenario: At twice the room every account gets its share
    Given the order of service deadline
    When requests arrive for 20 s
      | route | account | priority | per_s | pieces | target_s |
      | chat  | a       | 11       | 120   | 1      | 0.9      |
      | chat  | b       | 11       | 60    | 1      | 0.9      |
      | chat  | c       | 11       | 50    | 1      | 0.9      |
    Then each of 3 accounts is served within 0.1 of an equal share of the room
    And the pool serves at least 0.95 of its room

  Scenario: Large requests are served beside small ones
    Load pattern: room for half of the demand, a tenth of the requests with ten
    times as many pieces. Guards against large requests that never fit.
    Given the order of service deadline
    When requests arrive for 20 s
      | route | account | priority | per_s | pieces | target_s |
      | chat  | a       | 11       | 100   | 1      | 0.9      |
      | bulk  | a       | 11       | 10    | 10     | 0.9      |
    Then route bulk is on time at least half as often as all

  Scenario: A late piece waits for those that are due, not for those with time
    Load pattern: a chat request that missed its target by little beside a
    letter that has seconds to spare. Guards against late requests that wait
    behind all others, and against opened stages whose results expire.
    Given the order of service deadline
    When an opened stage, a late piece and two that can be on time are ranked
    Then their order is opened, due, late, spare

  Scenario: Without a setting pieces are ordered by priority
    Guards against a change of the order in deployments that do not ask for it.
    Given a queue without an order of service
    When requests arrive for 4 s
      | route | priority | per_s | pieces | target_s |
      | large | 10       | 60    | 2      | 1.3      |
      | chat  | 11       | 40    | 1      | 0.45     |
    And the same requests arrive at a queue that orders by priority
    Then both make the same calls

  Scenario: A piece with a distant target does not hide who is due
    Guards against an order that tells only seconds apart because one piece has
    minutes.
    Given the order of service deadline
    When urgent pieces with time, less urgent ones that are due and a piece with minutes are ranked
    Then their first 8 are due

  Scenario Outline: The first event of a route is expected by its own times
    Load pattern: a route with short prompts in a pool whose other prompts are
    ten times as long. Guards against requests that count as late before they
    are, and against a route that one slow answer has refused for good.
    Given a pool whose first events have come after <pool> s
    When <count> first events of route chat come after <took> s
    Then the first event of route chat is expected within <least> to <most> s

    Examples:
      | pool | count | took | least | most |
      | 0.8  | 20    | 0.1  | 0.1   | 0.4  |
      | 0.8  | 1     | 4.0  | 0.1   | 1.1  |

  Scenario: An upstream that refuses costs an account nothing
    Guards against an account that comes last because its calls were refused.
    Given the order of service deadline
    When a call of account a is refused 5 times
    Then account a has used at most 1 piece of the pool

  Scenario: A pool whose calls take no time is served
    Guards against a document that ends the queue of its pool.
    Given a stage pool of 1 upstreams with 8 pieces a call, 0 ms a call, 0 ms a piece
    And the order of service deadline
    When requests arrive for 1 s
      | route | priority | per_s | pieces | target_s |
      | chat  | 11       | 10    | 1      | 0.45     |
    Then at least 1.0 of the pieces of route chat are on time
