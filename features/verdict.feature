Feature: Verdicts
  Guards against an outcome that reports less execution than took place.

  Scenario Outline: A combined outcome has the highest verdict of its parts
    Given the stage verdicts "<verdicts>"
    Then the combined verdict is "<combined>"

    Examples:
      | verdicts             | combined     |
      |                      | not_run      |
      | not_run,not_run      | not_run      |
      | not_run,may_have_run | may_have_run |
      | ran,may_have_run     | ran          |
