Feature: Entries of other writers
  Anyone may write to the registry. Guards against one entry that ends the
  processes of all instances (inc-foreign-entry): the scheduler of a pool ended
  when it called the upstream, and the next one in the same way.

  Scenario Outline: An upstream has an address that can't be called
    Given relay instances one, two with 1 stage upstreams and an engine
    And an upstream of pool <pool> at the address ::1:8080
    When 12 callers send staged requests with 1,1 pieces over 3 s
    Then every caller gets an answer

    Examples:
      | pool    |
      | stage   |
      | engines |

  Scenario: A reply to a peer can't be encoded
    Guards against an instance that ends because another one, which can't read
    the registry, asks it for the upstreams.
    Given relay instances one, two with 1 stage upstreams and an engine
    When an upstream with -1 slots is listed while instance two can't read the registry, and a caller sends each a staged request
    Then every caller gets an answer

  Scenario: A peer passes on an entry that names no upstream
    Guards against the loss of all entries of a peer because of one.
    Given the entries of a peer at the addresses 10.0.0.1:80, ::1:8080, 10.0.0.2:80
    Then they name the upstreams at 10.0.0.1:80, 10.0.0.2:80

  Scenario: Malformed entries are read again and again
    Guards against a line for the same entry at each read, and against reads that
    lose the sound entries beside it.
    Given relay instances one with 1 stage upstreams and an engine
    And 3 malformed entries in each read of the registry
    When a caller sends a staged request with 1,1 pieces to each instance
    Then every caller gets an answer
    And 3 rejected entries are logged, each with its name, fault and revision
    And more than 30 rejections are counted

  Scenario: Another writer writes malformed entries all the time
    Guards against a log that another writer fills.
    Given relay instances one with 1 stage upstreams and an engine
    And 1000 malformed entries with a new revision in each read of the registry
    When a caller sends a staged request with 1,1 pieces to each instance
    Then every caller gets an answer
    And at most 90 rejected entries are logged, and the lines say how many are not
    And more than 10000 rejections are counted
