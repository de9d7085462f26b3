Feature: Acceptance of configuration revisions
  Guards against a configuration that reverts to an older revision, that differs
  between instances that received the same documents, or that is replaced by an
  invalid document.

  Scenario Outline: Only a higher valid revision comes into force
    Given a revision tracker
    When the tracker is offered "<offers>"
    Then the offers ended as "<outcomes>"
    And revision <revision> with "<text>" is in force

    Examples:
      | offers                                          | outcomes                  | revision | text               |
      | 5=valid, 4=valid old                            | accepted, older           | 5        | valid              |
      | 5=valid, 5=valid                                | accepted, same            | 5        | valid              |
      | 5=valid, 5=valid other                          | accepted, conflict        | 5        | valid              |
      | 5=valid, 6=broken                               | accepted, invalid         | 5        | valid              |
      | 5=valid, 6=broken, 7=valid new                  | accepted, invalid, accepted | 7      | valid new          |
      | 6=broken, 6=valid                               | invalid, accepted         | 6        | valid              |
      | 5=valid, 6=valid based_on 5, 7=valid based_on 5 | accepted, accepted, invalid | 6      | valid based_on 5   |
      | 5=valid, 7=valid based_on 5, 6=valid based_on 5 | accepted, invalid, accepted | 6      | valid based_on 5   |
      | 5=valid, 0=valid, 9223372036854775808=valid     | accepted, invalid, invalid | 5       | valid              |

  Scenario: An invalid document offered again is not validated again
    Given a revision tracker
    When the tracker is offered "5=valid, 6=broken, 6=broken, 6=broken"
    Then 2 offered documents were validated
    And 3 offers were counted as invalid

  Scenario: A document above the size limit is not validated
    Given a revision tracker
    When the tracker is offered a document of 1000001 bytes
    Then 0 offered documents were validated
    And 1 offers were counted as invalid

  Scenario: Invalid documents do not fill the memory
    Given a revision tracker
    When the tracker is offered 200 different invalid documents
    Then it has recorded 64 of them, the highest ones

  Scenario: Every order of the same offers ends in the same revision
    Then trackers agree and no revision decreases in every generated case

  Scenario Outline: A starting instance is not ready while a source may have a newer document
    Given a revision tracker
    And a starting instance that waits for "platform, peers" until 5 s
    When the tracker is offered "<offers>"
    And the sources "<settled>" answered
    Then at <now> s the starting instance is <state>

    Examples:
      | offers   | settled         | now | state     |
      | 5=valid  | platform, peers | 1   | ready     |
      | 5=valid  | platform        | 1   | not ready |
      | 5=valid  | peers           | 1   | not ready |
      | 5=valid  | platform        | 5   | ready     |
      | 5=broken | platform, peers | 6   | not ready |
