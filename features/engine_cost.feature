Feature: Choice of an engine by learned cost
  Guards against engines that are chosen by figures that do not hold for them:
  requests that look alike differ in cost by a factor of ten, and engines of one
  pool in speed, which nobody tells (docs/design/engine-cost.md).

  Scenario: The fixed choice decides as before
    Guards against a deployment whose choices change without its setting.
    When 3000 random steps are played with the fixed choice
    Then its decisions have the digest "0fff422be7b17370"

  Scenario Outline: The length of an answer is learned from what tells it
    Guards against a caller's figure that is wrong, and against one that is
    right but not used.
    Given answers of 5 to 200 events whose maximum is <maximum> and whose hint is <hint>
    Then the mean error of the estimate is at most <share> of that of the mean

    Examples:
      | maximum      | hint                    | share |
      | proportional | none                    | 0.5   |
      | constant     | right                   | 0.5   |
      | proportional | wrong                   | 0.5   |
      | constant     | right at the median     | 1.0   |
      | constant     | none                    | 1.05  |

  Scenario Outline: A length hint that is no number is no reason for a refusal
    Guards against a request that is refused because of an estimate.
    When a request has the length hint "<text>"
    Then its hint is <hint> tokens

    Examples:
      | text                  | hint |
      | 120                   | 120  |
      | -5                    | 0    |
      | many                  | 0    |
      | 1e9                   | 0    |
      | 999999999999999999999 | 0    |

  Scenario: Estimated lengths are bounded in number
    Guards against memory that grows with every route of a configuration.
    When answers of 2000 routes are recorded
    Then at most 512 routes are held, the newest among them

  Scenario: The speed of a pool is learned although its engines differ
    Guards against a speed that is wrong since fast engines get more to read.
    Given a pool of 12 engines of speeds 0.6, 1 and 1.6 in turn at 0.8 of capacity
    When one instance sends requests for 8 s by learned cost
    Then it knows the time to read a token to within a fifth
    And it knows the speed of each engine relative to the others to within a third

  Scenario: A slow engine is told from one that got dearer requests
    Guards against an engine that is avoided because its requests take long for
    what they are.
    Given engines dear and slow of a pool that is measured
    When dear gets requests of 8 times the tokens and slow takes 4 times as long for 1 s
    Then dear counts as less than 1.3 times as slow as the pool
    And slow counts as more than 2 times as slow as the pool
    And after 2 s without answers slow is less than 1.3 times as slow as it

  Scenario: An engine whose memory would not hold the request is avoided
    Guards against requests that preempt others, which all read their prompts
    again.
    Given engines full and roomy of 100000 tokens of memory each
    When full runs 4 requests of 24000 tokens and roomy 8 of 3000
    Then a request of 17000 tokens goes to roomy
    And with 300000 tokens of memory each it goes to full

  Scenario: News of more engines than a message holds is told in turn
    Guards against engines whose load the other instances never hear of.
    Given an instance with requests at 30 engines
    When it sends 9 messages of at most 8 engines
    Then every engine is in one of them, those with the most work in each

  Scenario: News of other instances counts less with its age
    Guards against an engine that is avoided because of requests that have
    ended since.
    Given an instance that heard of 40000 unread tokens at engine a
    Then a costs 0.5 s more than b at once, and less than 0.1 s more 1.4 s later
    And the news of an instance that tells of no requests replaces it

  Scenario: A slow or busy engine is not the source of a prefix
    Guards against a fetch that takes longer than reading the prompt.
    Given engines dear and slow of a pool that is measured
    When dear gets requests of 8 times the tokens and slow takes 4 times as long for 1 s
    Then a prefix is fetched from dear, but not from slow

  Scenario Outline: A request that no engine can begin in time is refused at once
    Guards against work on stages of a request whose caller leaves before an
    engine has read its prompt, and against a refusal while one is free.
    Given a relay with the engines a, b
    And the engine sends the events 1 to 3 and ends
    And engines are chosen by <choice> cost, and a has <a> and b <b> tokens to read
    When a caller sends a stream request
    Then it is answered <status>
    And <count> upstreams got the request

    Examples:
      | choice  | a       | b       | status | count |
      | learned | 9000000 | 9000000 | 503    | 0     |
      | learned | 9000000 | 0       | 200    | 1     |
      | fixed   | 9000000 | 9000000 | 200    | 1     |

  Scenario Outline: First events come earlier than by the fixed choice
    Load pattern: requests that look alike, of 1 to 10 times the least cost, at
    engines of speeds 0.6, 1 and 1.6, of which one slows by 4 for 5 s.
    Given 12 engines and requests for <load> of their capacity
    When <instances> instances choose engines for 12 s
    Then the 95th percentile of the first event is below that of the fixed choice

    Examples:
      | load | instances |
      | 0.6  | 1         |
      | 0.6  | 7         |
      | 0.6  | 62        |
      | 0.6  | 195       |
      | 0.8  | 1         |
      | 0.8  | 7         |
      | 0.8  | 62        |
      | 0.8  | 195       |
      | 0.95 | 1         |
      | 0.95 | 7         |
      | 0.95 | 62        |
      | 0.95 | 195       |

  Scenario Outline: First events come nearly as early as with perfect knowledge
    Load pattern: as above.
    Given 12 engines and requests for <load> of their capacity
    When 1 instances choose engines for 12 s
    Then the 95th percentile is at most 1.2 times that of perfect knowledge

    Examples:
      | load |
      | 0.6  |
      | 0.8  |
      | 0.95 |

  Scenario Outline: A slowed engine gets fewer requests, and its share again
    Load pattern: as above.
    Given 12 engines and requests for 0.8 of their capacity
    When <instances> instances choose engines for 20 s
    Then from 1 s after it slowed its share is at most that of its speed
    And it gets at least half of its share from 2 s after it recovered

    Examples:
      | instances |
      | 1         |
      | 7         |
