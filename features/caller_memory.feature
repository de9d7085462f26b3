Feature: Memory that is held for callers
  Guards against crowds of clients that fill the memory, and against ordinary
  requests that are shut out by them. All in 64 MB, of which 48 MB are for
  requests above 64 KiB.

  Scenario: A crowd stops short of the end of its bodies
    Guards against stalled bodies that keep the memory from those that arrive.
    Given 60 clients that sent 4 MB each at 0 s and stopped
    When a client sends 4 MB from 2 s to 3 s
    Then all of it is taken
    And at most 64 MB are held

  Scenario: A crowd sends whole bodies
    Guards against small requests that are refused for large ones.
    Given 60 clients of the account "a" that sent 4 MB each at 0 s, complete
    When 200 clients send 0.05 MB each at 1 s
    Then all of it is taken
    And at most 64 MB are held

  Scenario: A crowd of one account
    Guards against an account whose large requests leave no room for others.
    Given 60 clients of the account "a" that sent 4 MB each at 0 s, complete
    When a client of the account "b" sends 4 MB from 1 s to 2 s
    Then all of it is taken
    And the account "a" holds at most 32 MB
    And at most 64 MB are held

  Scenario: A crowd of one account with small requests
    Guards against an account whose requests, each of them small, leave no room
    for others while their upstream is slow.
    Given 900 clients of the account "a" that sent 0.1 MB each at 0 s, complete
    When 100 clients of the account "b" send 0.1 MB each at 1 s
    Then all of it is taken
    And the account "a" holds at most 43 MB
    And at most 64 MB are held

  Scenario: Only what has more of it yields
    Guards against a newcomer that takes the place of all before it.
    Given 10 clients that sent 4 MB each at 0 s and stopped
    When a client sends 40 MB from 1 s to 1.2 s
    Then it is refused
    And at most 64 MB are held

  Scenario: What is complete never yields
    Guards against a request that runs and is refused as not run.
    Given 7 clients of the account "a" that sent 4 MB each at 0 s, complete
    And 1000 clients that sent 0.05 MB each at 9 s and stopped
    When a client of the account "b" sends 16 MB from 10 s to 11 s
    Then none of the complete ones has yielded
    And at most 64 MB are held

  Scenario: A client trickles
    Guards against a crowd that keeps its place by sending a byte now and then.
    Given 60 clients that sent 1 MB each at 0 s and go on with a byte a second
    When a client sends 4 MB from 4 s to 4.5 s
    Then all of it is taken

  Scenario: Everything given back
    Guards against a count that drifts.
    Given 60 clients that sent 4 MB each at 0 s and stopped
    When all leave
    Then nothing is held

  Scenario: A crowd does not read its answers
    Guards against answers that wait for memory that clients hold who do not
    read theirs.
    Given 60 clients whose answers of 4 MB have been sent since 1 s
    When a request that is complete gets an answer of 4 MB at 2 s
    Then the answer has room
    And at most 64 MB are held

  Scenario: A client has just begun to read its answer
    Guards against answers that are cut off for newer ones.
    Given 60 clients whose answers of 4 MB have been sent since 1 s
    When a request that is complete gets an answer of 4 MB at 0.5 s
    Then the answer has no room

  Scenario: An ordinary request arrives while answers wait for memory
    Guards against a small request that yields to the answer of another one.
    Given 60 clients whose answers of 4 MB have been sent since 1 s
    And a small request that has been arriving since 0.4 s
    When a request that is complete gets an answer of 4 MB at 0.5 s
    Then the answer has no room
    And the small request has not yielded
