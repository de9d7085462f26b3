Feature: Streams that stall
  Guards against answers that end because their engine was silent for a second.

  Scenario Outline: An engine is silent for a second and the other one <fault>
    Guards against a stream that is taken from a silent engine with the last
    token of the retry budget, refused by the next one and ended, although the
    first engine goes on.
    Given a retry budget of <tokens> tokens
    When the engine of a started stream is silent for 1.2 s while the other one <fault>
    Then the caller gets the complete stream

    Examples:
      | fault   | tokens |
      | refuses | 1      |
      | refuses | 0      |
      | is lost | 1      |
      | serves  | 1      |
