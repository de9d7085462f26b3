Feature: Keyed requests
  Guards against a payment or a declaration that is executed twice when callers
  resubmit to any instance, and against a "not run" for what has run.

  Scenario: Two instances receive the same key at once and later
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
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When the payload "one" arrives at "b" with the key "k"
    And 3.0 s pass
    And the payload "two" arrives at "c" with the key "k"
    Then submission 1 is answered
    And submission 2 is refused with "key_mismatch", key "ran", submission "not_run"

  Scenario: The owner of a caller's key is killed after it ran the key
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "b" receives "k"
    And 3.0 s pass
    And instance "a" is killed
    And "b" receives "k"
    And 3.0 s pass
    And "b,c,x,y" see the list "b,c,x,y"
    And 9.0 s pass
    And "b" receives "k"
    And "x" receives "k"
    Then the key "k" was executed 1 times
    And submission 2 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"
    And submission 3 is refused with "key_owner_recent", key "may_have_run", submission "not_run"
    And submission 4 is refused with "key_owner_recent", key "may_have_run", submission "not_run"

  Scenario: The remaining owners keep their keys when another owner is killed
    Given five instances in two failure domains
    And a caller's key "k" owned by "b"
    When instance "a" is killed
    And 3.0 s pass
    And "b,c,x,y" see the list "b,c,x,y"
    And 9.0 s pass
    And "c" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is answered

  Scenario: The owner is paused before the write and wakes after its successor ran the key
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "k" arrives at "a" with a deadline of 2000 s
    And instance "a" is paused
    And 1.0 s pass
    And "b,c,x,y" see the list "b,c,x,y"
    And 9.0 s pass
    And 650 s pass for all clocks
    And "b" receives "k"
    And "c" receives "k"
    And 3.0 s pass
    And instance "a" is woken
    And 3.0 s pass
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"

  Scenario: An owner without contact to its group runs nothing
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "a" cannot reach "b,c,x,y"
    And "b,c,x,y" see the list "b,c,x,y"
    And 9.0 s pass
    And 650 s pass for all clocks
    And "a" receives "k"
    And "b" receives "k"
    And "c" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"

  Scenario: A newer list takes the key from an owner whose lease still lasts
    Given five instances in two failure domains
    When "b,c" see the list "b,c,x,y"
    And 1.5 s pass
    And "b,a" receive a key "k" that "b,a" own, 4.9 s ahead
    And "c,a" receive a key "l" that "c,a" own, 4.9 s ahead
    Then the key "k" was executed at most once
    And the key "l" was executed at most once

  Scenario: A failure domain that is cut off serves the keys issued inside it
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

  Scenario: A restarted instance does not run the keys of its predecessor
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
    is known to be gone.
    Given five instances in two failure domains
    And an issued key "k" of "a"
    When instance "a" is paused
    And "k" arrives at "b" with a deadline of 100 s
    And 1.0 s pass
    And "b,c,x,y" see the list "b,c,x,y"
    And 11.0 s pass
    Then submission 1 is refused with "key_owner_gone", key "may_have_run", submission "may_have_run"

  Scenario: An instance that has just started does not call an owner gone
    Guards against a silence that is longer than the instance has existed.
    Given five instances in two failure domains
    And an issued key "k" of "a"
    When instance "a" is paused
    And instance "b" is restarted
    And "b" see the list "b,c,x,y"
    And "b" receives "k"
    And 11.0 s pass
    And "b" receives "k"
    Then submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "not_run"
    And submission 2 is refused with "key_owner_gone", key "may_have_run", submission "not_run"

  Scenario: The reply of the owner is lost
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When replies are lost
    And "b" receives "k"
    Then the key "k" was executed 1 times
    And submission 1 is refused with "key_owner_unreachable", key "may_have_run", submission "may_have_run"

  Scenario: The answer is too large for the reply of the owner
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
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    And a caller's key "n" owned by "a"
    When "b" receives "k"
    And 3.0 s pass
    And "a" drains
    And "b" receives "n"
    And instance "a" is killed
    And "b,c,x,y" see the list "b,c,x,y"
    And 9.0 s pass
    And "b" receives "k"
    And "x" receives "n"
    Then the key "k" was executed 1 times
    And the key "n" was executed 1 times
    And the successors accepted the table
    And submission 3 is answered
    And submission 4 is answered

  Scenario: Only a request that certainly did not run may run again
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

  Scenario: A caller that disconnects leaves the run to the others
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "a" receives "k"
    And 0.1 s pass
    And "b" receives "k"
    And 0.1 s pass
    And the caller of submission 1 disconnects
    Then the key "k" was executed 1 times
    And submission 2 is answered

  Scenario: A new fleet runs a caller's key only if its clock is trusted
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

  Scenario: The owner reports what it knows
    Given five instances in two failure domains
    And a caller's key "k" owned by "a"
    When "x" receives "k"
    And 3.0 s pass
    And the state of "k" is asked at "y"
    Then the owner answers "finished ran"

  Scenario: A full table refuses new keys and forgets none before its time
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

  Scenario: A large answer is not recorded, and the reply says so
    Given a key table for 2 keys and answers of 100 bytes
    When the table begins "one" at 0 s
    And "one" finishes with an answer of 101 bytes at 1 s
    And the table begins "one" at 2 s
    Then the table recorded "key_answer_dropped" with the verdict "ran"

  Scenario Outline: Malformed keys are refused
    Then "<text>" <verb> a key

    Examples:
      | text                                                                | verb   |
      | order-17                                                            | is     |
      | ask1.a.00000000000000ff.00112233445566778899aabbccddeeff            | is     |
      | ask1.a.00000000000000ff.0011                                        | is not |
      | two words                                                           | is not |
      | 129 letters                                                         | is not |

  Scenario: An issued key that its owner may have forgotten is not run again
    Guards against a second execution when a caller resubmits after the
    memory of keys is over.
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
