Feature: Estimates, limits, shares and budgets behind a gate

  Scenario: Latency estimates follow the samples and return to the prior
    # An estimate that kept old samples would refuse calls forever.
    Given a latency estimate with a prior of 1 s
    Then its mean is 1.0 s at 0 s
    When 100 samples of 4 s and 5 of 9 s are added
    Then its mean is 4.2 s at 0 s and its high quantile about 9 s
    And its mean is 1.0 s at 300 s

  Scenario: The limit falls under rising latency and recovers
    # Guards against an overloaded upstream that gets as many calls as before,
    # and against a limit that stays low after the overload.
    Given a limit of 16 slots for calls of 1 s
    When 200 calls of 1 s end 0.1 s apart at full use
    Then the limit is 16
    When 40 calls of 5 s end 0.1 s apart at full use
    Then the limit is below 16 and at least 1
    When 900 calls of 1 s end 0.1 s apart at full use
    Then the limit is 16

  Scenario: A share of 0 leaves a limit of one call
    # With a limit of 0 the upstream could not be used at all.
    Given a limit of 16 slots for calls of 1 s
    When its share is 0
    Then the limit is 1

  Scenario: Latency that less than doubles under load does not lower the limit
    # Engines that batch become slower with each call without being overloaded.
    Given a limit of 16 slots for calls of 1 s
    When 900 calls of 1 s end 0.1 s apart at full use
    And 200 calls of 1.9 s end 0.1 s apart at full use
    Then the limit is 16

  Scenario: A gap in cache events invalidates the blocks stored before it
    # A lost event may have removed any of them. A block counts again once a
    # newer event stores it; a late event does not restore one. A newest number
    # below the last one means a restart with an empty cache.
    Given cache events 1 to 4 that store blocks 1 to 4
    Then the prefix of blocks 1 to 4 matches 4 blocks
    When event 7 stores block 1
    Then the prefix of blocks 1 to 4 matches 1 blocks
    When event 6 stores block 2
    Then the prefix of blocks 1 to 4 matches 1 blocks
    When event 8 stores block 2
    Then the prefix of blocks 1 to 4 matches 2 blocks
    When the upstream's newest event is 3
    Then the prefix of blocks 1 to 4 matches 0 blocks

  Scenario: The prefix index is bounded
    # Guards against memory that grows with the cache events of an engine.
    Given cache events 1 to 5000 that store blocks 1 to 5000
    Then the index holds 4096 blocks and not block 904

  Scenario: Prefix affinity yields to load
    # Guards against calls with a common prefix that all go to one upstream.
    Given a gate with 2 upstreams of 8 slots and calls of 1 s
    And "u1" holds the prefix
    When 1 calls with the prefix are submitted
    Then 1 calls are in flight at "u1"
    When 5 calls with the prefix are submitted
    Then at least 1 calls are in flight at "u0"

  Scenario: Load reported by an upstream counts less with age
    # Guards against an upstream that is avoided because of an old report.
    Given a gate with 2 upstreams of 8 slots and calls of 1 s
    When "u0" reports 8 calls of others
    And 2 calls are submitted
    Then 0 calls are in flight at "u0"
    And its load is below 0.1 after 10 s

  Scenario: Added attempts stay within the budget
    # Guards against retries that multiply the load of a failing pool.
    When 1000 calls each ask for two retries
    Then at most 103 retries were granted

  Scenario: Hedges leave tokens to retries
    # Guards against hedges that use up the budget of retries.
    Given a fresh retry budget
    Then it grants 1 hedges and then 2 retries

  Scenario: A chain that cannot meet its deadline is refused at arrival
    # Guards against the first stages running for a request that the last one
    # cannot finish in time.
    Given stages that take 1, 2 and 3 s and vary by 1 s each
    Then 7.8 s are enough
    And 7.6 s are refused without a retry time
    When the second stage has a queue of 2 s
    Then 10.1 s are refused with 0.03 s to retry

  Scenario: Shares follow the demand and fall back to equal shares
    # An instance without recent heartbeats must not take the whole pool.
    Given 4 listed instances
    Then the share is 0.25 when no peer sends summaries
    And the share is 0.25 when the summaries are 4 s old
    And the share is 0.5 at 6 calls a second when two peers send 1.5 and 1.5
    And the share is 0.0625 at 0 calls a second when two peers send 5 and 5

  Scenario: An unknown policy is rejected with a list of the known ones
    # Guards against a misspelt name that selects another policy.
    Then the policy "fastest" is rejected with "least_requests, round_robin"

  Scenario: Baseline policies grant calls beyond the limits
    # With limits the baselines would not show what they are compared for.
    Given a "round_robin" gate with 3 upstreams of 1 slots
    When 9 calls are submitted
    Then 3 calls are in flight at "u0"
    And 3 calls are in flight at "u2"
