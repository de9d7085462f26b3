Feature: Keyed requests
  Guards against a payment or a declaration that is executed twice when callers
  resubmit to any instance, and against the verdict NOT_RUN for a request that
  ran.

  Scenario: Instances receive the same key at once and later
    Guards against a run for each submission instead of one at the owner.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "b" receives "k"
    And "x" receives "k"
    And 3.0 s pass
    And "c" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is answered
    And submission 2 is answered
    And submission 3 is answered

  Scenario: A key with another payload is refused
    Guards against the answer to another request that had the same key.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When the payload "one" arrives at "b" with the key "k"
    And 3.0 s pass
    And the payload "two" arrives at "c" with the key "k"
    Then submission 1 is answered
    And submission 2 is refused with "key_mismatch", key "ran", submission "not_run"

  Scenario: The owner of a caller's key is killed after it ran the key
    Guards against a second run by the next owner, which has no record of the
    first.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "b" receives "k"
    And 3.0 s pass
    And instance "a" is killed
    And "b" receives "k"
    And 3.0 s pass
    And "b,c,x,y" apply the list "b,c,x,y"
    And 9.0 s pass
    And "b" receives "k"
    And "x" receives "k"
    Then the key "k" was executed 1 times
    And submission 2 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"
    And submission 3 is refused with "key_owner_recent", key "may_have_run", submission "not_run"
    And submission 4 is refused with "key_owner_recent", key "may_have_run", submission "not_run"

  Scenario: The remaining owners keep their keys when another owner is killed
    Guards against refusals of every key in the domain after one change of view.
    Given five instances in two failure domains
    And a caller's key "k" owned by "b"
    When instance "a" is killed
    And 3.0 s pass
    And "b,c,x,y" apply the list "b,c,x,y"
    And 9.0 s pass
    And "c" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is answered

  Scenario: The owner is paused before the write and resumes after its successor ran the key
    Guards against a write under a lease that expired during the pause.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "k" arrives at "a" with a deadline of 2000 s
    And instance "a" is paused
    And 1.0 s pass
    And "b,c,x,y" apply the list "b,c,x,y"
    And 9.0 s pass
    And 650 s pass for all clocks
    And "b" receives "k"
    And "c" receives "k"
    And 3.0 s pass
    And instance "a" is resumed
    And 3.0 s pass
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"

  Scenario: An owner that can't reach its key group runs nothing
    Guards against two owners on the two sides of a partition.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "a" cannot reach "b,c,x,y"
    And "b,c,x,y" apply the list "b,c,x,y"
    And 9.0 s pass
    And 650 s pass for all clocks
    And "a" receives "k"
    And "b" receives "k"
    And "c" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"

  Scenario: A newer list assigns the key to another owner before the lease expires
    Guards against two owners with leases while instance lists differ.
    Given five instances in two failure domains
    When "b,c" apply the list "b,c,x,y"
    And 1.5 s pass
    And "b,a" receive a key "k" that "b,a" own, 4.9 s ahead
    And "c,a" receive a key "l" that "c,a" own, 4.9 s ahead
    Then the key "k" was executed at most once
    And the key "l" was executed at most once

  Scenario: A partitioned failure domain serves the keys issued inside it
    Guards against a domain that runs keys of unreachable instances, or refuses
    those of its reachable ones.
    Given five instances in two failure domains
    And an issued key "in" of "x"
    And an issued key "out" of "a"
    When "a,b,c" cannot reach "x,y"
    And "y" receives "in"
    And "y" receives "out"
    Then the key "in" was executed 1 times
    And the key "out" was executed 0 times
    And submission 1 is answered
    And submission 2 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"

  Scenario: A restarted instance does not run the keys of its previous incarnation
    Guards against a second run at an instance that lost its key table.
    Given five instances in two failure domains
    And an issued key "k" of "a"
    And a caller's key "c" owned by "a"
    When "b" receives "k"
    And "b" receives "c"
    And 3.0 s pass
    And instance "a" is restarted
    And 9.0 s pass
    And "b" receives "k"
    And "a" receives "k"
    And "b" receives "c"
    Then the key "k" was executed 1 times
    And the key "c" was executed 1 times
    And submission 3 is refused with "key_owner_gone", key "may_have_run", submission "not_run"
    And submission 4 is refused with "key_owner_gone", key "may_have_run", submission "not_run"
    And submission 5 is refused with "key_owner_recent", key "may_have_run", submission "not_run"

  Scenario: The owner of a submission leaves the list while it is paused
    Guards against a caller that waits until its deadline for an instance that
    was removed from the list and does not answer.
    Given five instances in two failure domains
    And an issued key "k" of "a"
    When instance "a" is paused
    And "k" arrives at "b" with a deadline of 100 s
    And 1.0 s pass
    And "b,c,x,y" apply the list "b,c,x,y"
    And 11.0 s pass
    Then submission 1 is refused with "key_owner_gone", key "may_have_run", submission "may_have_run"

  Scenario: An instance that has just started does not report an owner as stopped
    Guards against a time without heartbeats that is counted from before the start
    of the instance.
    Given five instances in two failure domains
    And an issued key "k" of "a"
    When instance "a" is paused
    And instance "b" is restarted
    And "b" apply the list "b,c,x,y"
    And "b" receives "k"
    And 11.0 s pass
    And "b" receives "k"
    Then submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"
    And submission 2 is refused with "key_owner_gone", key "may_have_run", submission "not_run"

  Scenario: The reply of the owner is lost
    Guards against the verdict NOT_RUN for a request that the owner ran.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When replies are lost
    And "b" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "may_have_run"

  Scenario: The answer is too large for the reply of the owner
    Guards against a second run or a lost verdict when a message can't hold the
    answer.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When a payload of 2050 kB arrives at "b" with the key "k"
    And 3.0 s pass
    And a payload of 2050 kB arrives at "a" with the key "k"
    And a payload of 3000 kB arrives at "b" with the key "k"
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_answer_dropped", key "ran", submission "ran"
    And submission 2 is refused with "key_answer_dropped", key "ran", submission "not_run"
    And submission 3 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"

  Scenario: A drained owner hands over its keys
    Guards against refusals and second runs after a planned stop.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    And a caller's key "n" owned by "a"
    When "b" receives "k"
    And 3.0 s pass
    And "a" drains
    And "b" receives "n"
    And instance "a" is killed
    And "b,c,x,y" apply the list "b,c,x,y"
    And 9.0 s pass
    And "b" receives "k"
    And "x" receives "n"
    Then the key "k" was executed 1 times
    And the key "n" was executed 1 times
    And the successors accepted the table
    And submission 3 is answered
    And submission 4 is answered

  Scenario: Only a request that certainly did not run may run again
    Guards against a second run after MAY_HAVE_RUN, and against a key that can
    never run after NOT_RUN.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    And a caller's key "u" owned by "b"
    When "a" refuses what it executes as "not_run"
    And "b" refuses what it executes as "may_have_run"
    And "c" receives "k"
    And "c" receives "u"
    And 3.0 s pass
    And "a" refuses what it executes as "-"
    And "b" refuses what it executes as "-"
    And "c" receives "k"
    And "c" receives "u"
    Then the key "k" was executed 1 times
    And the key "u" was executed 0 times
    And submission 1 is refused with "overloaded", key "not_run", submission "not_run"
    And submission 3 is answered
    And submission 4 is refused with "overloaded", key "may_have_run", submission "not_run"

  Scenario: The run continues for other callers when one disconnects
    Guards against the cancellation of a run for which another submission waits.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "a" receives "k"
    And 0.1 s pass
    And "b" receives "k"
    And 0.1 s pass
    And the caller of submission 1 disconnects
    Then the key "k" was executed 1 times
    And submission 2 is answered

  Scenario: A new fleet runs a caller's key only if the account's clock is trusted
    Guards against a second run of a key that ran before the fleet restarted: only
    a trusted issue time shows that the key is newer.
    Given five instances that have just started
    And a caller's key "k" owned by "a"
    When "b" receives "k"
    And "a,b" receive a key "t" that "a" own, 0.0 s ahead
    And 6.0 s pass
    And "a,b" receive a key "u" that "a" own, 0.0 s ahead
    Then the key "k" was executed 0 times
    And the key "t" was executed 0 times
    And the key "u" was executed 1 times
    And submission 1 is refused with "key_owner_recent", key "may_have_run", submission "not_run"

  Scenario: The owner reports the state of a key
    Guards against a query that an instance answers without the owner's record.
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "x" receives "k"
    And 3.0 s pass
    And the state of "k" is queried at "y"
    Then the owner answers "finished ran"

  Scenario: A full table refuses new keys and evicts none before its time
    Guards against an evicted key whose resubmission would run again.
    Given a key table for 2 keys and answers of 100 bytes
    When the table begins "one" at 0 s
    And the table begins "two" at 0 s
    And "one" finishes with an answer of 10 bytes at 1 s
    And the table begins "three" at 600 s
    Then the table refuses with "key_table_full"
    When the table begins "one" at 600 s
    Then the table recorded "an answer" with the verdict "ran"
    When the table begins "three" at 602 s
    Then the table runs "three"

  Scenario: A large answer is not recorded, and the refusal states it
    Guards against a key table that exceeds its memory, and against a second run
    of a key whose answer is missing.
    Given a key table for 2 keys and answers of 100 bytes
    When the table begins "one" at 0 s
    And "one" finishes with an answer of 101 bytes at 1 s
    And the table begins "one" at 2 s
    Then the table recorded "key_answer_dropped" with the verdict "ran"

  Scenario Outline: Malformed keys are refused
    Guards against a damaged issued key that runs as a caller's key.
    Then "<text>" <verb> a key

    Examples:
      | text                                                                | verb   |
      | order-17                                                            | is     |
      | ask1.a.00000000000000ff.00112233445566778899aabbccddeeff            | is     |
      | ask1.a.00000000000000ff.0011                                        | is not |
      | two words                                                           | is not |
      | 129 letters                                                         | is not |

  Scenario: An issued key that its owner may have removed is not run again
    Guards against a second execution when a caller resubmits after the time for
    which the owner's key table holds the key.
    Given five instances in two failure domains
    And an issued key "k" of "a"
    When "b" receives "k"
    And 3.0 s pass
    And 700 s pass for all clocks
    And "b" receives "k"
    And 3.0 s pass
    Then the key "k" was executed 1 times
    And submission 1 is answered
    And submission 2 is refused with "key_expired", key "may_have_run", submission "not_run"
