Feature: A registry that comes back from a copy
  Guards against an instance that takes the changes of the new era for older
  ones, since revisions go back, and against one that believes the copy.

  Scenario Outline: Changes of the new era count
    Guards against work for upstreams that leave in the new era, at lower
    revisions than before, and against new ones that get no work.
    Given <instances> instances that read a store
    When the store comes back from a copy, and then p0 leaves and p4 joins
    Then no call reaches p0 later than 2 s after it left
    And all instances use p4
    And all requests are served

    Examples:
      | instances |
      | 1         |
      | 7         |

  Scenario Outline: The copy is not believed at once
    Guards against work for an upstream that had left before, against a running
    one that gets none, and against a document that is taken back, since the
    copy is some seconds old.
    Given <instances> instances that read a store
    When p0 leaves, p3 joins and a document is published, and the store <event>
    Then no call reaches p0 later than 2 s after it left
    And all instances use p3 meanwhile
    And all instances have the newest document
    And all requests are served

    Examples:
      | instances | event                                             |
      | 1         | comes back from a copy of before                  |
      | 7         | comes back from a copy of before                  |
      | 7         | comes back from it twice                          |
      | 7         | comes back from it while i0 is cut off            |

  Scenario: The new era's word holds after a time
    Guards against an upstream that is kept for good though the new era does
    not list it.
    Given 3 instances that read a store
    When p3 joins, and the store comes back from a copy without it for good
    Then no instance uses p3 any more
    And all requests are served

  Scenario: Instances do not read the store at the same moment
    Guards against a store that has just come back and is read by the whole
    fleet at once.
    Given 40 instances that read a store
    When the store comes back from a copy, without any requests
    Then at most 15 instances read it within 50 ms, and all within 3 s
