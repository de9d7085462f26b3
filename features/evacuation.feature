Feature: Evacuated failure domains
  Guards against work for the upstreams of a failure domain that an operator
  has evacuated (EVAC), and against a domain that stays unused afterwards.
  Played without network.

  Scenario Outline: Which orders are in force
    Guards against an order that an older read, watch or peer takes back or
    brings back, and against one that is lost in the pages of a read.
    When these updates of the orders arrive: <updates>
    Then the evacuated domains are <domains>

    Examples:
      | updates                                              | domains |
      | read 10                                              | none    |
      | read 10 za@5                                         | za      |
      | read 10; watch 11 za@11                              | za      |
      | read 10 za@5; watch 12 -za@12                        | none    |
      | read 10 za@5; watch 14 -za@12 za@14                  | za      |
      | read 10 za@5; watch 14 za@14 -za@12                  | za      |
      | read 10 za@5 zb@6; watch 12 -za@12                   | zb      |
      | read 10 za@5 zb@6 zc@7                               | za zb zc |
      | read 10 za@5; read 20                                | none    |
      | read 10 za@5; peer 9                                 | za      |
      | read 10 za@5; peer 12                                | none    |
      | peer 12 za; watch 12 -za@11                          | za      |
      | peer 12 za; watch 13 -za@13                          | none    |
      | peer 12 za; read 10                                  | za      |
      | read 10 zb@12; peer 11 za                            | za zb   |
      | read 10 zb@12; watch 11 za@11; watch 13 -zb@13       | za      |

  Scenario Outline: A registry that comes back from a copy
    Guards against an order that ends since the copy is older, against one
    that comes back with it though it was taken back, and against one of the
    new era that is not in force.
    When these updates of the orders arrive: <updates>
    Then the evacuated domains are <domains>

    Examples:
      | updates                                                     | domains |
      | read 10 za@5; era 8                                         | za      |
      | read 10 za@5; era 8; wait 2                                 | za      |
      | read 10 za@5; era 8; wait 3                                 | none    |
      | read 10 za@5; era 8; watch 9 za@9; wait 3                   | za      |
      | read 10 za@5; era 8 za@5; watch 9 -za@9                     | none    |
      | read 10 za@5; era 8; wait 1; era 8; wait 2                  | za      |
      | read 10 za@5; watch 12 -za@12; era 8 za@5                   | none    |
      | read 10 za@5; watch 12 -za@12; era 8 za@5; wait 3           | za      |
      | read 10 za@5; watch 12 -za@12; era 8 za@5; watch 9 -za@9; wait 3 | none |
      | read 10 za@5; watch 12 -za@12; era 8 za@5; watch 9 za@9     | za      |
      | read 10; era 8 za@9                                         | za      |
      | read 10 za@5; era 8; peer 8; wait 2                         | za      |

  Scenario: Orders are bounded in number
    Guards against memory that grows with orders, and against orders for
    domains that do not exist which displace the others.
    When 5000 orders arrive, the first of them for za
    Then at most 256 domains are evacuated, za among them

  Scenario Outline: An order and its end
    Guards against each kind of request, and against stage calls, releases and
    reports, that reach an evacuated domain, and against requests that are lost
    though others have room.
    Given <instances> instances in three failure domains
    When za is evacuated at 2 s and taken back at 8 s while requests come on the route <route> for 12 s
    Then nothing reaches an evacuated domain later than 2 s after its order
    And za gets work again within 2 s
    And all requests are served

    Examples:
      | instances | route         |
      | 1         | safe          |
      | 7         | unsafe        |
      | 1         | stream        |
      | 7         | resume        |
      | 3         | staged        |
      | 7         | staged-resume |

  Scenario Outline: The store has trouble
    Guards against an order that does not reach an instance, or does not end
    there, because of the store's state.
    Given 7 instances in three failure domains
    When za is evacuated at 2 s and taken back at 8 s while the store <event>
    Then nothing reaches an evacuated domain later than <bound> s after its order
    And no domain is evacuated any more
    And all requests are served

    Examples:
      | event                                    | bound |
      | answers                                  | 2     |
      | turns i0 and i3 away                     | 2     |
      | turns all but i1 away                    | 2     |
      | turns all away after the order           | 2     |
      | turns i0 away before and i1 starts again | 2     |
      | answers after 0.5 s                      | 3     |
      | forgets its history                      | 2     |
      | comes back from a copy without the order | 2     |
      | comes back from a copy with the order    | 2     |

  Scenario Outline: Instances that start during an order
    Guards against an instance that does not know yet that a domain is
    evacuated.
    Given 7 instances in three failure domains
    When za is evacuated, and then <event>
    Then nothing reaches an evacuated domain later than 2 s after its order
    And all requests are served

    Examples:
      | event                                       |
      | another instance starts                     |
      | another instance starts without the store   |
      | all instances start again                   |

  Scenario: An instance that is cut off keeps to the order
    Guards against an order that ends where neither the store nor a peer can be
    reached; also against one that goes on there once they can.
    Given 7 instances in three failure domains
    When za is evacuated, i0 is cut off from 2 s on and back at 8 s, and the order ends at 5 s
    Then i0 sends nothing to za until it is back
    And no domain is evacuated any more

  Scenario: The end of an order that no other instance remembers
    Guards against an order that goes on at an instance that the store turns
    away, since those that it reaches have started after its end.
    Given 7 instances in three failure domains
    When za is evacuated, i0 has neither store nor peers from 2 s on, the order ends at 4 s, all others start again at 5 s and i0 reaches them at 9 s
    Then no domain is evacuated any more

  Scenario Outline: All upstreams are evacuated
    Guards against requests that wait or spend stages before they are refused;
    also against a Retry-After that nothing supports.
    Given 1 instances in three failure domains
    When <domains> are evacuated and 20 requests follow on the route <route>, with upstreams of <pool> nowhere else
    Then these are refused within 50 ms as not run, without a Retry-After
    And nothing reaches an upstream for them

    Examples:
      | domains  | route        | pool    |
      | za zb zc | safe         | plain   |
      | za zb zc | stream       | engines |
      | za       | staged       | stage   |
      | za       | staged       | engines |
      | za       | staged-later | later   |

  Scenario: Pieces that wait when the last upstream is evacuated
    Guards against pieces that wait for their deadline in a queue without
    upstreams.
    Given 1 instances in three failure domains
    When staged requests wait for upstreams in za and za is evacuated
    Then those that wait are refused within 0.5 s of it as not run

  Scenario: Calls that are under way when the order arrives
    Guards against calls that wait for a connection and are written after the
    order.
    Given 1 instances in three failure domains
    And a connection to an upstream takes 1.2 s to open
    When 30 streams begin and za is evacuated 0.05 s later
    Then nothing reaches an evacuated domain later than 1 s after its order
    And all requests are served

  Scenario: Orders for a domain that does not exist
    Guards against an order that has an effect on other domains.
    Given 3 instances in three failure domains
    When nowhere is evacuated at 2 s and taken back at 4 s while requests come on the route safe for 6 s
    Then za gets work all the time
    And all requests are served

  Scenario: Without orders nothing changes
    Guards against decisions that differ where no domain is evacuated.
    When the same requests are sent with and without the table of orders
    Then each reaches the same upstream at the same time

  Scenario Outline: An order spreads
    Guards against instances that learn late of an order, or of its end, which
    the store does not tell them.
    Given <count> instances of which the store answers <in_touch>, with <loss> of all datagrams lost
    When za is evacuated and taken back 2 s later
    Then all instances know of each within 2 s

    Examples:
      | count | in_touch | loss |
      | 1     | 1        | 0    |
      | 7     | 1        | 0.05 |
      | 62    | 5        | 0.05 |
      | 84    | 1        | 0.05 |
      | 195   | 20       | 0.05 |
      | 300   | 30       | 0.05 |
      | 300   | 1        | 0.05 |
      | 300   | 300      | 0.05 |
