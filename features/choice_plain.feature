Feature: The learned choice of an upstream of a plain pool

  Scenario Outline: Costs that a request tells are learned
    Guards against an estimate that is no better than the route's mean.
    When 400 requests of <classes> come whose costs differ by a factor of 8 and by chance of <chance>
    Then the mean error of the learned cost is at most half of that of the route's mean

    Examples:
      | classes    | chance |
      | 4 sizes    | 0.2    |
      | 4 accounts | 0.2    |

  Scenario: Costs are bounded in number
    When 20000 accounts send a request
    Then at most 4096 classes of requests are remembered

  Scenario Outline: Nothing is assumed of a site
    Guards against a fixed figure that makes an upstream that has not answered
    dearer or cheaper than the others.
    Given upstreams a, b and c of which a and b answered 50 requests in <took> s
    When 300 requests are chosen for while all are idle
    Then each of a, b and c is chosen for 60 to 140 of them

    Examples:
      | took |
      | 0.04 |
      | 0.5  |
      | 5.0  |

  Scenario Outline: What stays before the expected end
    Given upstreams a, b and c of which a and b answered 50 requests in 0.1 s
    When <event>
    Then <upstream> is chosen for none of 100 requests

    Examples:
      | event                   | upstream |
      | a has failed            | a        |
      | a has been tried        | a        |
      | a and b have been tried | b        |

  Scenario Outline: How many upstreams an instance compares
    Guards against a choice whose time grows with the pool, and against one that
    sends the requests of all instances to the same upstream.
    When one of <instances> instances chooses among <upstreams> upstreams of one domain
    Then it compares <compared> of them

    Examples:
      | instances | upstreams | compared |
      | 1         | 3         | 3        |
      | 1         | 78        | 4        |
      | 30        | 78        | 3        |
      | 300       | 78        | 2        |
      | 300       | 1         | 1        |

  Scenario: The own failure domain comes first while it has room
    Given upstreams a, b and c of which a and b answered 50 requests in 0.1 s
    And only c is in the own failure domain
    And c has 1 request
    Then c is chosen for all of 100 requests
    And not for all of them while it has 20 requests

  Scenario: The fixed choice decides as before
    Guards against a switch that changes deployments that do not use it.
    When 2000 requests are sent and end at random with the fixed choice
    Then each decision is that of the selector by mean call times

  Scenario Outline: An instance uses the choice of its settings
    Guards against one of three equal upstreams that gets nearly all requests,
    since all instances prefer it.
    Given 7 instances with the choice <choice> and 3 equal upstreams that answer in 0.04 s
    When 30 requests a second come for 10 s
    Then the most loaded upstream gets <bound> 1.25 times its share and 3 deviations

    Examples:
      | choice  | bound   |
      | fixed   | over    |
      | learned | at most |

  Scenario: The learned choice is seen in logs and metrics
    Given 3 instances with the choice learned and 3 equal upstreams that answer in 0.04 s
    When 30 requests a second come for 10 s
    Then the last attempts are logged with an expected time of 0.03 s to 0.06 s
    And the metrics have choices by reason, expected and taken time
    And the largest share of an upstream is from 1 to 2
