Feature: Stand-in for an engine
  Guards against tests that pass only because the simulated engine lacks the
  limits, delays and faults of a real one.

  Scenario: A resumed stream has the tokens of the original one
    Guards against resumed streams with other tokens, with which a test could
    not detect a gap or a repeated token.
    Given an engine stand-in
    When a prompt "x tokens=9" is generated completely and from token 4
    Then the second stream equals the first from token 4

  Scenario: More calls than slots share the token rate
    Guards against an engine of unlimited capacity, which hides overload.
    Given an engine stand-in with {"slots": 2, "tokens_per_s": 10, "first_token_s": 1}
    When 2 and then 4 calls of 90 tokens run at once
    Then the gaps between tokens are "0.1,0.2" s

  Scenario: Waiting calls with a lower priority value run first
    Guards against a priority that has no effect.
    Given an engine stand-in with {"slots": 1, "batch_max": 1}
    When calls with priorities "0,5,1" arrive in this order
    Then they started in the order "0,1,5"

  Scenario Outline: A disconnected or cancelled call frees its slot
    Guards against tokens that are generated without a reader, and against a
    cancellation that takes effect only at the next token.
    Given an engine stand-in with {"slots": 1, "batch_max": 1, "first_token_s": 10}
    When a long call ends by "<way>" after 2 s while another waits
    Then the other call starts at 2 s
    And the long call is not completed

    Examples:
      | way        |
      | disconnect |
      | cancel     |

  Scenario: A call that is cancelled while it waits is not run
    Guards against a cancelled call that still runs later.
    Given an engine stand-in with {"slots": 1, "batch_max": 1}
    When a waiting call is cancelled
    Then it answers 409 with Applespring-Not-Run and is not in the record

  Scenario: A cached prefix shortens the first token
    Guards against a cache without a benefit, so that no benchmark could
    measure prefix affinity.
    Given an engine stand-in with {"first_token_s": 1.0}
    When the same prompt of 256 bytes is generated twice
    Then the first tokens took "1,0.2" s

  Scenario: Cache events are delayed and include evictions
    Guards against a prefix index that is tested with immediate events only.
    Given an engine stand-in with {"cache_blocks": 4, "cache_lag_s": 3}
    When prompts of 256 and 128 bytes are cached
    Then after 2 s there are 0 events and after 4 s "stored" 6 and "evicted" 2

  Scenario: Some cache events are never served
    Guards against a prefix index that depends on receiving every event.
    Given an engine stand-in with {"cache_gap": 0.5, "seed": 3}
    When prompts of 2048 and 2048 bytes are cached
    Then some sequence numbers are missing from the events

  Scenario Outline: Engines that check fences reject an order with an older one
    Guards against a planner that is tested only with engines that check fences,
    or only with engines that do not.
    Given an engine stand-in with {"checks_fence": <checks>}
    When orders for versions "new" and "old" have fences 7 and 6
    Then the last order answers <status> and version "<version>" is loaded

    Examples:
      | checks | status | version |
      | true   | 409    | new     |
      | false  | 200    | old     |

  Scenario Outline: Each fault changes the stream as specified
    Guards against an injected fault that has no effect or a different one.
    Given an engine stand-in
    And the faults [<fault>]
    When a prompt "x tokens=4" is generated
    Then the token indexes are "<indexes>"

    Examples:
      | fault                                           | indexes           |
      | {"kind": "truncate", "after": 2}                | 0,1,reset         |
      | {"kind": "truncate", "after": 2, "clean": true} | 0,1               |
      | {"kind": "duplicate", "at": 1}                  | 0,1,1,2,3,DONE    |
      | {"kind": "reorder", "at": 1}                    | 0,2,1,3,DONE      |
      | {"kind": "reorder", "at": 3}                    | 0,1,2,3,DONE      |
      | {"kind": "wrong_id", "at": 2}                   | 0,1,other,3,DONE  |
      | {"kind": "garbage", "at": 0}                    | garbage,1,2,3,DONE |

  Scenario: A stream can freeze at a token until the fault is cleared
    Guards against a freeze that works only before the first token.
    Given an engine stand-in
    And the faults [{"kind": "freeze", "at": 2}]
    When a prompt "x tokens=4" is generated and the faults end after 9 s
    Then 2 tokens came before 1 s and the others at 9 s or later

  Scenario Outline: An invalid call is refused and not run
    Guards against a call that the engine runs although it misreads a member.
    Given an engine stand-in with {"model": "m"}
    When a call with {<change>} is sent
    Then the upstream answers <status>
    And the answer has Applespring-Not-Run

    Examples:
      | change              | status |
      | "prompt": 1         | 400    |
      | "stream": false     | 400    |
      | "model": "other"    | 404    |
      | "resume_from": "1"  | 400    |
      | "resume_from": -1   | 400    |
