Feature: Bounded cost of control work in a large fleet
  Guards against control work that grows with the number of instances, peers or
  upstreams until an instance spends all its time on it and serves no requests.

  Scenario Outline: Each of many instances probes upstreams less often
    Guards against a probe load on upstreams that grows with the number of
    instances, and against upstreams that an instance no longer probes at all.
    Given a platform with revision 5 "valid" and 40 reporting upstreams
    And the list 1 "all" with <listed> entry instances
    And an instance "koper-1"
    When the instances run for 60 s
    Then at most <most> probes were made in any round after 10 s
    And each reporting upstream was probed in the last <age> s

    Examples:
      | listed | most | age |
      | 9      | 16   | 3   |
      | 350    | 1    | 21  |

  Scenario: Without the platform each pool keeps an upstream with evidence
    Guards against probes that all go to a large pool, so that the evidence for
    every upstream of a small one expires.
    Given a pool of 60 local and a pool of 3 remote reporting upstreams
    And the list 1 "all" with 350 entry instances
    And an instance "koper-1"
    When at 10 s the platform goes down
    And the instances run for 60 s
    Then "koper-1" may use an upstream of the remote pool

  Scenario: An upstream that dies without the platform is replaced in its pool
    Guards against probes that keep going to dead upstreams of a small pool.
    Given a pool of 60 local and a pool of 3 remote reporting upstreams
    And the list 1 "all" with 350 entry instances
    And an instance "koper-1"
    When at 10 s the platform goes down
    And at 20 s "r0" becomes dead
    And at 20 s "r1" becomes dead
    And the instances run for 60 s
    Then "koper-1" may use an upstream of the remote pool

  Scenario Outline: An instance sends heartbeats to a bounded number of peers
    Guards against heartbeats to all members of a large failure domain.
    Given a key group of 5 instances in a failure domain of 29
    Then an instance <where> the group sends its heartbeat to <most> peers at most

    Examples:
      | where   | most |
      | in      | 7    |
      | outside | 3    |

  Scenario: Shares and usable upstreams are applied only when they change
    Guards against gates that recalculate their capacity without need.
    Given a gate with usable upstreams "a b"
    When the shares are applied 10 times
    Then the gate received its usable upstreams 1 time
    And the gate received its share 1 time

  Scenario: Usable upstreams are applied again after a new configuration
    Guards against calls to an upstream that a new configuration adds while
    there is no evidence that it serves.
    Given a gate with usable upstreams "a"
    When the shares are applied 1 time
    And the configuration adds upstream "b" to the pool
    And the shares are applied 1 time
    Then the gate starts no call to "b"

  Scenario: Old heartbeats of peers do not count towards shares
    Guards against shares that depend on the demand of a minute ago.
    Given a gate with usable upstreams "a b"
    And 300 peers whose last heartbeat came 60 s ago with demand 1
    And 3 peers whose last heartbeat came 1 s ago with demand 0
    Then the shares are calculated from 3 summaries

  Scenario: Idle accounts are removed
    Guards against heartbeats that take longer with each account that has ever
    sent a request.
    Given requests of 500 accounts at 0 s
    And requests of 3 accounts at 30 s
    When the busiest accounts are listed at 30 s
    Then 3 accounts have a recorded rate

  Scenario Outline: A peer gets the list only if it stays behind
    Guards against lists sent to peers that read them from the platform anyway.
    Given a peering that applied list 7 at 100 s
    When a heartbeat with list <revision> comes from the peer at <at> s
    And the peering updates peers that are behind
    Then the peer was sent <sent>

    Examples:
      | at    | revision | sent                   |
      | 101   | 6        | nothing                |
      | 103.5 | 6        | an offer and the list  |
      | 103.5 | 7        | nothing                |

  Scenario: The list is sent only to a peer that accepts the offer
    Given a peering that applied list 7 at 100 s
    And the peer has applied list 7 meanwhile
    When a heartbeat with list 6 comes from the peer at 104 s
    And the peering updates peers that are behind
    Then the peer was sent an offer

  Scenario Outline: An offered document is accepted only if the platform is late
    Guards against documents of 1 MB sent to peers that read them from the
    platform at the same time.
    Given a peer with configuration revision 5 that <watch>
    When it is offered revision 6
    Then it <answer> the document

    Examples:
      | watch                                   | answer   |
      | reads nothing from the platform         | accepts  |
      | reads revision 6 from the platform then | declines |

  Scenario Outline: Instances of a large fleet each read events of few engines
    Guards against event streams that grow with instances times engines.
    Given 60 engines with cache events and <listed> entry instances
    Then an instance reads events of <count> engines, the same each time

    Examples:
      | listed | count |
      | 9      | 60    |
      | 350    | 2     |

  Scenario: Each upstream address has a separate connection pool
    Guards against one pool whose search for a connection takes longer with each
    upstream, and against pools that are never closed.
    Given a transport that has called 3000 addresses
    Then it has 2048 connection pools and 952 were closed
