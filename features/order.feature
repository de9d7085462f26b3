Feature: Orders to engines
  Guards against engines that get contradictory orders, that an instance with
  an old configuration reverts, or that load weights faster than the weight store
  allows.

  Scenario Outline: An order is sent only while the engine reports another state
    Guards against an order that repeats the reported state, and against one that
    relies on an old report.
    Given an order planner for pool "model=a version=2" of engines "g1"
    And the engines report "<report>" at 10 s
    When orders are planned at <now> s with the configuration confirmed at 9 s
    Then the orders are "<orders>"

    Examples:
      | report                        | now | orders |
      | model=a version=1             | 10  | g1     |
      | model=b version=2             | 10  | g1     |
      | model=a version=2             | 10  |        |
      | model=a version=2 adapter=x   | 10  |        |
      | model=a version=1             | 16  |        |

  Scenario: An engine without a report gets no order
    Guards against an order to an engine whose state is unknown.
    Given an order planner for pool "model=a version=2" of engines "g1"
    When orders are planned at 10 s with the configuration confirmed at 9 s
    Then the orders are ""

  Scenario: An order carries the revision as fence and the desired state
    Guards against an order that a fenced engine can't tell from an older one.
    Given an order planner for pool "model=a version=2 role=prefill" of engines "g1"
    And the engines report "model=a version=1" at 10 s
    When orders are planned at 10 s with the configuration confirmed at 9 s
    Then the order has fence 1 and state "model=a version=2 role=prefill"

  Scenario: Repeated orders back off until the state is reported
    Guards against a steady stream of orders to an engine that does not comply.
    Given an order planner for pool "role=prefill" of engines "g1"
    When orders are planned every 1 s for 600 s while the engines report "role=decode"
    Then the orders were sent at "0 5 15 35 75 155 275 395 515"

  Scenario: A new desired state is ordered at once
    Guards against a backoff that outlasts the desired state it belongs to.
    Given an order planner for pool "role=prefill" of engines "g1"
    When orders are planned every 1 s for 3 s while the engines report "role=decode"
    And the pool becomes "role=mixed"
    And orders are planned every 1 s for 3 s while the engines report "role=decode"
    Then the orders were sent at "0 3"

  Scenario Outline: An unfenced engine is ordered only on a confirmed revision
    Guards against an instance that missed a revision and reverts an engine.
    Given an order planner for pool "role=prefill" of engines "g1" with fencing <fencing>
    And the engines report "role=decode" at 100 s
    When orders are planned at 100 s with the configuration confirmed at <confirmed> s
    Then the orders are "<orders>"

    Examples:
      | fencing | confirmed | orders |
      | off     | 92        | g1     |
      | off     | 91        |        |
      | off     | -1        |        |
      | on      | -1        | g1     |

  Scenario Outline: An order is checked again directly before it is written
    Guards against an order that became outdated while it waited to be sent.
    Given an order planner for pool "role=prefill" of engines "g1" with fencing <fencing>
    And the engines report "role=decode" at 10 s
    When orders are planned at 10 s with the configuration confirmed at 9 s
    Then with revision <revision> in force at <now> s the order may be sent: <may>

    Examples:
      | fencing | revision | now | may |
      | off     | 1        | 10  | yes |
      | off     | 1        | 18  | no  |
      | on      | 1        | 18  | yes |
      | on      | 2        | 10  | no  |

  Scenario: Each engine has one issuer among the instances of its domain
    Guards against two issuers of one engine, and against a change of most
    issuers when an instance stops.
    Then 300 engines in 2 domains of 10 instances have one local issuer each
    And the loss of one instance changes the issuer of only the engines it had

  Scenario: Engines of a domain without entry instances get orders
    Guards against engines that no instance would order.
    Given an order planner for pool "role=prefill" of engines "g1@izola"
    And the engines report "role=decode" at 10 s
    When orders are planned at 10 s with the configuration confirmed at 9 s
    Then the orders are "g1"

  Scenario: The fleet stays within the rate of the weight store
    Guards against a restart of all instances that loads weights in each at once.
    Then 50 instances that start together send at most 61 loads in 60 s at 1 a second

  Scenario: An engine that never complies leaves tokens to the others
    Guards against repeated orders to one engine that use up every token.
    Given an order planner for pool "model=a" of engines "g1 g2 g3"
    And the weight store allows 0.005 loads a second
    When orders are planned every 1 s for 700 s while the engines report "model=b"
    Then every engine was sent an order
