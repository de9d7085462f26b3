Feature: Upstreams that say that they leave or need a pause
  Guards against requests to upstreams that have told the instance in an answer
  that they leave (DRAIN) or want no requests for a time (BUDGET,
  inc-leaving-and-rest), whatever the registry lists.

  Scenario Outline: A leaving upstream gets no more requests from whom it told
    Guards against work for an upstream that leaves, until the registry lists
    it as leaving.
    Given <instances> instances with 3 engines and 3 services that speak
    When <rate> requests a second come for 8 s on the route <route>, and <name> says from 2 s on that it leaves
    Then no call reaches it later than allowed from an instance that it told
    And all requests are served

    Examples:
      | instances | rate | route         | name |
      | 1         | 30   | safe          | p0   |
      | 7         | 30   | unsafe        | p0   |
      | 7         | 30   | stream        | e0   |
      | 3         | 30   | resume        | e0   |
      | 3         | 5    | staged        | s0   |
      | 7         | 5    | staged-resume | e0   |

  Scenario Outline: A paused upstream gets no requests until its pause ends
    Guards against requests to an upstream that asked for a pause, and against
    a pause that counts as failures, after which the upstream gets nothing.
    Given <instances> instances with 3 engines and 3 services that speak
    When <rate> requests a second come for 12 s on the route <route>, and <name> asks at 2 s for a pause of 4 s
    Then at most 2 calls reach it in a pause that an instance was told of
    And it gets requests within 0.6 s of the end of its pause
    And all requests are served

    Examples:
      | instances | rate | route         | name |
      | 1         | 90   | safe          | p0   |
      | 3         | 150  | unsafe        | p0   |
      | 1         | 30   | stream        | e0   |
      | 7         | 30   | resume        | e0   |
      | 3         | 5    | staged        | s0   |
      | 3         | 5    | staged-resume | s0   |

  Scenario Outline: Many requests are turned away at once
    Guards against refusals in a row that count as failures, so that the
    upstream stays unused for longer than it asked for.
    Given 1 instances with 3 engines and 3 services that speak
    And a paused upstream answers after 0.2 s
    When 150 requests a second come for 8 s on the route <route>, and <name> asks at 2 s for a pause of 2 s
    Then at most 2 calls reach it in a pause that an instance was told of
    And it gets requests within 0.6 s of the end of its pause

    Examples:
      | route  | name |
      | unsafe | p0   |
      | stream | e0   |

  Scenario Outline: Calls that are under way when the pause begins
    Guards against calls that wait for a connection and are written after the
    answer that asks for a pause.
    Given 1 instances with 3 engines and 3 services that speak
    And a connection to an upstream takes 0.7 s to open
    When 100 requests come at once on the route <route>, and <name> asks for a pause
    Then at most 2 calls reach it in a pause that an instance was told of

    Examples:
      | route  | name |
      | unsafe | p0   |
      | stream | e0   |

  Scenario Outline: All upstreams are paused
    Guards against requests that are held, or told to come back while all
    upstreams are still paused.
    Given 1 instances with 3 engines and 3 services that speak
    When all upstreams of <pool> ask for a pause of 4 s and 20 requests follow 1 s later on the route <route>
    Then these are refused within 50 ms as not run, each to come back after the pause
    And at least 10 of them are to come back at different times
    And none of them reached an upstream of <reached>

    Examples:
      | pool    | route  | reached |
      | plain   | safe   | plain   |
      | plain   | unsafe | plain   |
      | engines | stream | engines |
      | engines | staged | stage   |
      | stage   | staged | stage   |

  Scenario Outline: All upstreams leave
    Guards against requests that are sent to leaving upstreams, or held, since
    there is no other one.
    Given 1 instances with 3 engines and 3 services that speak
    When all upstreams of <pool> say that they leave and 20 requests follow 1 s later on the route <route>
    Then these are refused within 50 ms as not run, each with a Retry-After

    Examples:
      | pool    | route  |
      | plain   | unsafe |
      | engines | resume |

  Scenario Outline: Another start under the same name
    Guards against a notice that outlives the start of the upstream it is
    about, so that its next start gets no requests.
    Given 3 instances with 3 engines and 3 services that speak
    When <rate> requests a second come for 8 s on the route <route>, and <name> <says> at 2 s and starts again at 4 s
    Then it gets requests within 0.6 s of its next start
    And no call reaches it later than allowed from an instance that it told

    Examples:
      | route  | rate | name | says                |
      | unsafe | 150  | p0   | says that it leaves |
      | resume | 30   | e0   | says that it leaves |
      | staged | 5    | s0   | says that it leaves |
      | unsafe | 150  | p0   | asks for a pause    |
      | resume | 30   | e0   | asks for a pause    |

  Scenario: Releases wait for the end of a pause
    Guards against results that stay in the memory of a stage upstream, since
    their release was withheld in its pause.
    Given 1 instances with 3 engines and 1 services that speak
    When a staged request ends while s0 is paused for 1 s
    Then its results are released by one call after the pause

  Scenario Outline: The clock advances while the rest of a pause is computed
    Guards against a wait below 0, which ended the process of the instance that
    schedules the pool (inc-negative-wait).
    Given 1 instances with 3 engines and 1 services that speak
    And timers fire 1 % early by a clock that takes <us> us to read
    When a staged request ends while s0 is paused for 1 s
    Then its results are released by one call after the pause

    Examples:
      | us |
      | 15 |
      | 20 |
      | 25 |

  Scenario: A wait for a time ends, whatever the clock shows
    Guards against a wait below 0, or of no number, that ends a process
    (inc-negative-wait), and against one that ends too early.
    Then any of 200 generated waits ends once its clock shows the time

  Scenario: A long call that is silent has no retry left
    Guards against a wait below 0 if a call already took longer than it may
    without a retry, which ended the process (inc-negative-wait).
    Given 1 instances with 3 engines and 1 services that speak
    And a stage call takes 0.9 s and no call may be repeated
    When a staged request is sent to a stage upstream that never answers it
    Then the request is refused as not run before its caller leaves
    And the instance still answers a staged request

  Scenario: A trial is not sent to a paused engine
    Guards against the one trial of a quarantined request that is sent to an
    upstream which takes no requests.
    Given 3 instances with 3 engines and 3 services that speak
    When two engines crash on a request, and before its trial e0 asks for a pause
    Then at most 2 calls reach it in a pause that an instance was told of
    And the trial reached another engine
