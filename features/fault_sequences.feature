Feature: Random sequences of faults
  Submissions, faults, restarts and publications in generated orders; P1 to P7
  must hold afterwards.

  Scenario: No generated sequence violates a property
    Guards against combinations of faults that the matrix and the pairs lack.
    Then 40 generated sequences of submissions and faults violate no property
