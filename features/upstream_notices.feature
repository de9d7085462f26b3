Feature: What upstreams say of themselves
  Guards against notices that are lost, held against another start of the
  upstream, or make instances act at the same moment (inc-leaving-and-rest).

  Scenario Outline: Values of Retry-After
    Guards against a pause that is not kept, and against an upstream that is
    never used again because of a malformed or absurd value.
    When an answer with status <status> has the Retry-After "<value>"
    Then it asks for a pause of <pause> s, with <rejected> values rejected

    Examples:
      | status | value                         | pause | rejected |
      | 503    | 4                             | 4     | 0        |
      | 503    | 0.25                          | 0.25  | 0        |
      | 503    | .5                            | 0.5   | 0        |
      | 429    | 2                             | 2     | 0        |
      | 503    | 0                             | 0     | 0        |
      | 200    | 4                             | no    | 0        |
      | 503    | -1                            | no    | 1        |
      | 503    | nan                           | no    | 1        |
      | 503    | 1e9                           | no    | 1        |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | no    | 1        |
      | 503    | 99999999                      | 3600  | 1        |

  Scenario Outline: Which notices apply
    Guards against a notice of one start that applies to another one, and
    against a later answer that shortens a pause or takes a leaving back.
    When upstream a hears of <notices>
    Then at 5 s its start 1 is <first> and its start 2 is <second>

    Examples:
      | notices                                          | first   | second  |
      | start 1 leaving at 1                             | leaving | usable  |
      | start 2 leaving at 1, start 1 leaving at 2       | leaving | leaving |
      | start 1 leaving at 1, start 1 nothing at 2       | leaving | usable  |
      | start 1 pause 6 at 1                             | paused  | usable  |
      | start 1 pause 3 at 1                             | usable  | usable  |
      | start 1 pause 6 at 1, start 1 pause 1 at 2       | paused  | usable  |
      | start 1 pause 1 at 1, start 1 pause 4 at 2       | paused  | usable  |
      | start 1 pause 9 at 1, start 1 leaving at 2       | leaving | usable  |
      | start 2 pause 9 at 1, start 1 pause 1 at 2       | usable  | paused  |

  Scenario: Notices are bounded in number
    Guards against memory that grows with every start of an upstream.
    When 5000 upstreams ask for a pause of 9 s and leave
    Then at most 2048 of each are held, the newest among them

  Scenario Outline: Requests move away from a paused upstream and back
    Guards against a herd at the upstreams that are left, and at one whose pause
    ends at the same moment at all instances, while it has no load and none of
    them knows the load of the others yet.
    Given <instances> instances and <upstreams> upstreams of a <kind> pool
    When <rate> requests a second come for 8 s and one upstream is paused everywhere from 2 s to 6 s
    Then no request goes to it in its pause
    And in no 0.5 s of the pause another one gets over 1.5 times what one gets without it
    And in the 0.5 s after the pause it gets at most 3 times its share
    And it gets requests within 2 s of its end

    Examples:
      | instances | upstreams | kind   | rate |
      | 7         | 9         | engine | 200  |
      | 84        | 30        | engine | 500  |
      | 195       | 78        | engine | 1000 |
      | 7         | 3         | plain  | 200  |
      | 84        | 4         | plain  | 500  |
      | 195       | 5         | plain  | 500  |

  Scenario Outline: Callers come back after a pause at different times
    Guards against callers that all return at the moment when a pause ends.
    When 1000 requests are refused for a pause of <pause> s
    Then all come back after it, and at most <most> of them within any 0.05 s

    Examples:
      | pause | most |
      | 0.2   | 600  |
      | 4     | 100  |
