Feature: Verdicts
  Guards against a combined verdict below that of one of its calls, with which a
  caller would repeat what has run.

  Scenario Outline: A combined outcome has the highest verdict of its stages
    Given the stage verdicts "<verdicts>"
    Then the combined verdict is "<combined>"

    Examples:
      | verdicts             | combined     |
      |                      | not_run      |
      | not_run,not_run      | not_run      |
      | not_run,may_have_run | may_have_run |
      | ran,may_have_run     | ran          |
