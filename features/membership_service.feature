Feature: Updates of the membership view
  Guards against calls to an upstream that leaves while the platform is slow or
  down, and against a process that relies on outdated evidence after a pause.

  The pool `svc` has the upstreams s1 to s3, which report no load; `llm` has m1
  to m3, which do.

  Scenario Outline: Usable upstreams under faults of the platform
    Given a platform with revision 5 "valid"
    And the list 1 "all"
    And an instance "koper-1"
    When at 10 s <fault>
    And at <later> s <event>
    And the instances run for <end> s
    Then "koper-1" may use "<usable>"

    Examples:
      | fault                                 | later | event                            | end  | usable            |
      | nothing happens                       | 11    | nothing happens                  | 3600 | s1 s2 s3 m1 m2 m3 |
      | the list becomes 2 "all s1:leaving"   | 11    | nothing happens                  | 12   | s2 s3 m1 m2 m3    |
      | the platform goes down                | 11    | nothing happens                  | 3600 | s1 s2 s3 m1 m2 m3 |
      | the platform goes hang                | 11    | nothing happens                  | 3600 | s1 s2 s3 m1 m2 m3 |
      | the platform goes garbage             | 11    | nothing happens                  | 3600 | s1 s2 s3 m1 m2 m3 |
      | the platform goes impatient           | 11    | nothing happens                  | 60   | s1 s2 s3 m1 m2 m3 |
      | the platform goes down                | 11    | "m1" becomes dead                | 14   | s1 s2 s3 m2 m3    |
      | the platform goes down                | 11    | "m1" becomes hang                | 14   | s1 s2 s3 m2 m3    |
      | nothing happens                       | 11    | "m1" becomes leaving             | 13   | s1 s2 s3 m2 m3    |
      | "m1" becomes leaving                  | 20    | "m1" becomes serving             | 47   | s1 s2 s3 m2 m3    |
      | "m1" becomes leaving                  | 20    | "m1" becomes serving             | 53   | s1 s2 s3 m1 m2 m3 |
      | the list becomes 2 "s1 s2 m1 m2 m3"   | 11    | nothing happens                  | 60   | s1 s2 m1 m2 m3    |
      | the list becomes 2 "s1 m1 m2 m3"      | 11    | nothing happens                  | 60   | s1 s2 s3 m1 m2 m3 |
      | the list becomes 2 ""                 | 11    | nothing happens                  | 60   | s1 s2 s3 m1 m2 m3 |
      | the list becomes 2 "all s1:leaving"   | 20    | the list becomes 1 "all"         | 60   | s2 s3 m1 m2 m3    |

  Scenario: Queued calls are not written to an upstream that leaves meanwhile
    Guards against a check of the upstream that is made only when a call is
    queued.
    Given a platform with revision 5 "valid"
    And the list 1 "all"
    And an instance "koper-1"
    And 100 calls are queued on "koper-1" from 10 s to 20 s
    When at 15 s the list becomes 2 "all s1:leaving"
    And the instances run for 25 s
    Then calls were written to "s1" until 15 s and not after 17 s
    And every call was written

  Scenario Outline: After a pause an instance makes no call before a new read
    Guards against calls to upstreams that left during the pause.
    Given a platform with revision 5 "valid"
    And the list 1 "all"
    And an instance "koper-1"
    When at 10 s <fault>
    And at 20 s "koper-1" is paused for 60 s while <event>
    And the instances run for 25 s
    Then the first check after the pause allowed no call
    And "koper-1" may use "<usable>"

    Examples:
      | fault                  | event                               | usable            |
      | nothing happens        | nothing happens                     | s1 s2 s3 m1 m2 m3 |
      | nothing happens        | the list becomes 2 "all s1:leaving" | s2 s3 m1 m2 m3    |
      | the platform goes down | nothing happens                     | s1 s2 s3 m1 m2 m3 |

  Scenario: A request after a pause without the platform waits for probes
    Guards against refusals for lack of an upstream although every upstream
    answers probes. Instances that paused for more than 1 s while the platform
    was down refused a third of their requests (a process scenario that failed
    once on a busy machine).
    Given a platform with revision 5 "valid"
    And the list 1 "all"
    And an instance "koper-1"
    And each probe takes 0.2 s
    When at 10 s the platform goes down
    And at 20 s "koper-1" is paused for 1.5 s while nothing happens
    And a request arrives at "koper-1" at 20.01 s
    And the instances run for 25 s
    Then the request may use "s1 s2 s3 m1 m2 m3" within 1 s

  Scenario: After a pause the list is read at once
    Guards against requests that wait until the next regular read.
    Given a platform with revision 5 "valid"
    And the list 1 "all"
    And an instance "koper-1"
    When at 20 s "koper-1" is paused for 60 s while nothing happens
    And the instances run for 20.4 s
    Then "koper-1" may use "s1 s2 s3 m1 m2 m3"

  Scenario: Dead upstreams do not keep the others from being probed
    Guards against dead upstreams whose time-outs use up the probes of a round.
    Given a platform with revision 5 "valid" and 40 reporting upstreams
    And an instance "koper-1"
    And the first 20 reporting upstreams are dead
    When at 5 s the platform goes down
    And the instances run for 60 s
    Then each reporting upstream was probed in the last 3 s
    And at most 16 probes were made in any round
