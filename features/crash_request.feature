Feature: Which request crashes upstreams
  Guards against a request that crashes upstreams at each instance anew, and
  against sound requests that are refused for being near. No network is needed;
  5% of datagrams are lost.

  Scenario Outline: Crashes of one request that different instances saw
    Guards against a rule of each instance for itself: each sees one crash, and
    the request comes to yet another one (BUDGET, inc-repeated-request).
    Given the crash ledgers of <size> instances
    When <count> upstreams crash <gap> s apart on one request, each seen by another instance
    And the exchanges of 3 s pass
    Then every instance holds the request and nothing else

    Examples:
      | size | count | gap  |
      | 7    | 3     | 0.7  |
      | 84   | 3     | 0.7  |
      | 195  | 3     | 0.7  |
      | 7    | 3     | 42.0 |
      | 84   | 3     | 42.0 |
      | 195  | 3     | 42.0 |

  Scenario Outline: Instances that missed the crashes of a request learn of them
    Guards against an instance that restarts or was cut off and sends the request
    on: it is bound 3 s after it is in touch.
    Given the crash ledgers of <size> instances
    When 2 instances are cut off
    And 3 upstreams crash 0.7 s apart on one request, each seen by another instance
    And the exchanges of 8 s pass
    And the cut heals
    And an instance starts
    And the exchanges of <bound> s pass
    Then every instance holds the request and nothing else

    Examples:
      | size | bound |
      | 7    | 3     |
      | 84   | 3     |
      | 195  | 3     |

  Scenario: Sound requests that are sent on together with the one that crashes
    Guards against a sound request that is refused since it was at two upstreams
    that ended, as was the one that crashed them.
    Given the crash ledgers of 7 instances
    When two upstreams crash one after the other on the same 3 requests
    Then no instance holds a part in quarantine
    When all of them but the first one are answered
    Then every instance holds the first of them and nothing else

  Scenario: A flood of requests beside crashes
    Guards against a caller that crashes upstreams with ever new requests, so
    that the evidence against another one is evicted.
    Given the crash ledgers of 3 instances
    When 3 upstreams crash 0.7 s apart on one request, each seen by another instance
    And 200 further upstreams crash on requests that come once
    Then every instance holds the request and nothing else

  Scenario Outline: Trials of a request that goes on crashing upstreams
    Guards against trials for good: more than three requests after the third
    crash break the users' rule.
    Given the crash ledgers of <size> instances
    When <count> upstreams crash 0.7 s apart on one request, each seen by another instance
    And trials of it are asked for every second for <seconds> s, and fail
    Then at most 6 upstreams have ended under it

    Examples:
      | size | count | seconds |
      | 7    | 2     | 1800    |
      | 7    | 3     | 1800    |
      | 84   | 3     | 150     |

  Scenario Outline: Ordinary crashes hold no sound request
    Guards against sound requests that are refused since they were at upstreams
    that crashed or lost power, also those that come again and again.
    Given requests, <rate> a second, <share> of them the same, at <upstreams> upstreams for 30 s
    When <down> of them <fate> every <every> s, in 20 runs
    Then no request is refused

    Examples:
      | rate | share | upstreams | down | fate               | every |
      | 60   | 0.7   | 3         | 1    | crash              | 4     |
      | 60   | 0.7   | 6         | 2    | crash              | 4     |
      | 120  | 0.9   | 20        | 8    | crash              | 5     |
      | 120  | 0.5   | 20        | 8    | lose power at once | 5     |
      | 200  | 0.7   | 45        | 30   | crash              | 6     |
