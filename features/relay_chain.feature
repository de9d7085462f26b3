Feature: Stages of one request
  Guards against inputs of the wrong stage, results that occupy memory before
  they are needed, and results that are never released.

  Scenario: Stages start when the stages that they depend on are done
    Given the stages 0 of 8 kB, 1 of 60 kB after 0, 2 of 6 kB after 1 with 1,2,3 pieces
    Then the stages 0 are due
    When stage 0 is done
    Then the stages 1 are due
    And the pieces of stage 1 take 0/0
    When stage 1 is done
    Then the results of stage 0 are not needed
    And the pieces of stage 2 take 1/0,1/1
    When stage 2 is done
    Then the request takes 2/0,2/1,2/2

  Scenario: A stage whose large result only the request reads starts last
    Given the stages 0 of 3000 kB, 1 of 8 kB, 2 of 60 kB after 1, 3 of 6 kB after 2 with 2,1,1,1 pieces
    Then the stages 1 are due
    When stage 1 is done
    Then the stages 2 are due
    When stage 2 is done
    Then the stages 0,3 are due
    When stage 3 is done
    And stage 0 is done
    Then the request takes 0/0,0/1,3/0

  Scenario: A single stage with a large result starts at once
    Given the stages 0 of 3000 kB with 2 pieces
    Then the stages 0 are due

  Scenario: A stage without pieces is omitted
    Given the stages 0 of 3000 kB, 1 of 8 kB with 0,1 pieces
    Then the stages 1 are due
    When stage 1 is done
    Then the request takes 1/0

  Scenario: A lost input is produced again with all results made from it
    Given the stages 0 of 8 kB, 1 of 60 kB after 0 with 1,1 pieces
    When stage 0 is done
    And stage 1 is done
    And the result of stage 0 is lost
    Then the stages 0 are due
    And the request takes nothing

  Scenario: Results that were not released are released at the end
    Given the stages 0 of 8 kB, 1 of 60 kB after 0 with 1,1 pieces
    When stage 0 is done
    Then the results left to release are 0/0
    And no result is left to release
