Feature: Where requests of a plain pool go, with many instances
  Guards against upstreams that get everything, because all instances prefer the
  same one of several equal ones or act on the same old news, and against an
  upstream that keeps its requests while it is slow. The bounds are those of
  the requirements on even load; the model has no network, and instances tell
  each other their loads every 0.5 s.

  Scenario Outline: Equal upstreams get even shares
    When <instances> instances send requests to <upstreams> equal upstreams at <load> of their capacity
    Then in any second no upstream gets over 1.25 times its share and 3 deviations
    And the 99th percentile of requests at an upstream is at most that of the fixed choice

    Examples:
      | instances | upstreams | load |
      | 1         | 3         | 0.2  |
      | 7         | 30        | 0.6  |
      | 62        | 3         | 0.9  |
      | 62        | 30        | 0.9  |
      | 195       | 3         | 0.2  |
      | 300       | 30        | 0.2  |
      | 300       | 30        | 0.9  |

  Scenario Outline: The fixed choice sends too much to one of equal upstreams
    Shows the fault that the learned choice mends.
    When <instances> instances choose as fixed among <upstreams> equal upstreams at <load> of their capacity
    Then in some second an upstream gets over 1.25 times its share and 3 deviations

    Examples:
      | instances | upstreams | load |
      | 300       | 30        | 0.2  |
      | 300       | 30        | 0.9  |

  Scenario Outline: One of the upstreams is five times slower
    When <instances> instances send requests to <upstreams> upstreams at 0.6 of their capacity, of which one becomes 5 times slower at 4 s
    Then from 6 s to 9 s it gets at most a fifth of its share
    And the 95th percentile of times is at most that of the fixed choice

    Examples:
      | instances | upstreams |
      | 1         | 3         |
      | 62        | 30        |
      | 300       | 30        |

  Scenario Outline: An upstream comes back as another start
    Guards against one that gets nothing as it has not answered yet, or all
    requests at once.
    When <instances> instances send requests to <upstreams> upstreams at 0.6 of their capacity, and one comes back at 6 s
    Then it gets between half of its share and twice its share from 7 s on
    And in the first second after 6 s it gets at most twice its share

    Examples:
      | instances | upstreams |
      | 1         | 3         |
      | 7         | 3         |
      | 300       | 30        |
