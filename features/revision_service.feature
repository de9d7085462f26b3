Feature: Distribution of configuration revisions
  Guards against a configuration that does not reach an instance in time,
  against a faulty platform that replaces it by an older one, and against
  overload of the platform.

  Scenario Outline: Under platform faults the newest valid document is in force
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    When at 10 s <fault>
    And at <later> s <event>
    And the instances run for <end> s
    Then "koper-1" has revision <revision> in force, never an older one
    And "koper-1" was ready

    Examples:
      | fault                                  | later | event                                | end  | revision |
      | the platform publishes 6 "valid"       | 11    | nothing happens                      | 12   | 6        |
      | the platform goes down                 | 3610  | nothing happens                      | 3620 | 5        |
      | the platform goes hang                 | 3610  | nothing happens                      | 3620 | 5        |
      | the platform goes garbage              | 3610  | the platform goes up                 | 3620 | 5        |
      | the platform goes error                | 3610  | the platform goes up                 | 3620 | 5        |
      | the platform goes huge                 | 13    | the platform goes up                 | 30   | 5        |
      | the platform publishes 3 "valid old"   | 20    | nothing happens                      | 60   | 5        |
      | the platform publishes 3 "valid old"   | 20    | the platform publishes 6 "valid"     | 28   | 6        |
      | the platform publishes 6 "broken"      | 60    | nothing happens                      | 70   | 5        |
      | the platform publishes 6 "broken"      | 60    | the platform publishes 7 "valid"     | 68   | 7        |
      | the platform publishes 999 "broken"    | 60    | the platform publishes 6 "valid"     | 68   | 6        |
      | the platform publishes 6 "valid based_on 5" | 11 | the platform publishes 7 "valid based_on 5" | 20 | 6      |

  Scenario Outline: After an hour without the platform a revision arrives soon
    Guards against delays between reads that grow with the length of an outage.
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    When at 10 s the platform goes <mode>
    And at 3600 s the platform publishes 6 "valid"
    And at 3610 s the platform goes up
    And the instances run for 3618 s
    Then "koper-1" has revision 6 in force, never an older one

    Examples:
      | mode |
      | down |
      | hang |

  Scenario: An invalid newest document is neither validated nor offered again
    Guards against processor time spent on the same invalid document at each
    read.
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    When at 10 s the platform publishes 6 "broken"
    And the instances run for 600 s
    Then "koper-1" validated 2 documents
    And "koper-1" offered 1 invalid document to its tracker

  Scenario: A revision reaches an instance that is cut off from the platform
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    And an instance "koper-2" with a platform that goes down at 10 s
    When at 20 s the platform publishes 6 "valid"
    And the instances run for 21 s
    Then "koper-2" has revision 6 in force, never an older one
    And each instance sent it to at most 3 peers

  Scenario: Each instance sends a new revision to few peers
    Guards against a document that each instance sends to all others.
    Given a platform with revision 5 "valid"
    And 12 instances
    When at 10 s the platform publishes 6 "valid"
    And the instances run for 12 s
    Then each instance sent it to at most 3 peers

  Scenario: A heartbeat with a newer revision leads to a request for it
    Guards against an instance that keeps an old revision because the message
    with the new one was lost while it cannot reach the platform.
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    And an instance "koper-2" with a platform that goes down at 0 s
    And messages to "koper-2" are lost until 20 s
    When at 10 s the platform publishes 6 "valid"
    And at 21 s "koper-2" notices that "koper-1" has revision 6
    And the instances run for 22 s
    Then "koper-2" has revision 6 in force, never an older one

  Scenario Outline: A starting instance gets the newest document from a peer
    Guards against requests served with no configuration or with an old one.
    Given a platform with revision 6 "valid"
    And an instance "koper-1"
    And an instance "koper-2" that starts at 30 s with a platform that <fault>
    When the instances run for 40 s
    Then "koper-2" has revision 6 in force, never an older one
    And "koper-2" was not ready with a revision below 6

    Examples:
      | fault                     |
      | goes down at 0 s          |
      | goes hang at 0 s          |
      | has revision 4 "valid"    |

  Scenario: Without a valid document an instance is not ready
    Given a platform with revision 5 "broken"
    And an instance "koper-1"
    When the instances run for 60 s
    Then "koper-1" is not ready

  Scenario: An instance whose first reads failed is ready once it has a document
    Given a platform with revision 5 "broken"
    And an instance "koper-1"
    When at 60 s the platform publishes 6 "valid"
    And the instances run for 68 s
    Then "koper-1" was ready

  Scenario: Peers that do not answer delay the start for a bounded time
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    And a peer "koper-2" that does not answer
    When the instances run for 8 s
    Then "koper-1" was ready between 2 s and 6 s

  Scenario: A component that fails on a configuration does not affect the others
    Guards against an exception in one subscriber that stops the distribution.
    Given a platform with revision 5 "valid"
    And an instance "koper-1" with a subscriber that fails
    When at 10 s the platform publishes 6 "valid"
    And the instances run for 20 s
    Then "koper-1" has revision 6 in force, never an older one

  Scenario: A confirmation has the time at which the platform decided
    Guards against a configuration that counts as confirmed at a time when the
    platform was down.
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    When at 30 s the platform goes down
    And the instances run for 60 s
    Then the configuration of "koper-1" was last confirmed between 24 s and 30 s

  Scenario: A reply read after a pause confirms the time of the call
    Guards against a reply from before the pause that confirms the configuration
    as of now.
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    When at 28 s "koper-1" is paused for 60 s while nothing happens
    And the instances run for 33 s
    Then the configuration of "koper-1" was last confirmed between 24 s and 33 s

  Scenario: A platform with an older revision confirms nothing
    Given a platform with revision 5 "valid"
    And an instance "koper-1"
    When at 30 s the platform publishes 4 "valid"
    And the instances run for 60 s
    Then the configuration of "koper-1" was last confirmed between 24 s and 30 s

  Scenario Outline: 350 instances that start at once do not flood the platform
    Given a platform with revision 5 "valid"
    And 350 instances
    When the platform is <mode> at first
    And at 10 s the platform goes up
    And the list changes 20 times a second from 12 s to 15 s
    And the instances run for 16 s
    Then the platform got at most 1000 calls in any second
    And no watch had more than one call waiting

    Examples:
      | mode      |
      | up        |
      | down      |
      | impatient |
