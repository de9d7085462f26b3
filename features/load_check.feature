Feature: Checks of answers by the load generator
  Guards against a run that reports no fault although callers received wrong or
  incomplete answers, or those of other requests.

  Scenario: Expected outputs agree with the stand-ins
    Guards against expected outputs that differ from those of the stand-ins.
    Then 200 generated inputs give the same output through every chain

  Scenario Outline: Every kind of wrong answer is recognized
    Guards against a check that accepts this kind of answer.
    When a plain answer is "<change>"
    Then the outcome is "<outcome>"

    Examples:
      | change                          | outcome   |
      | as expected                     | whole     |
      | with the id of a resubmission   | whole     |
      | cut in the body                 | cut       |
      | without output                  | cut       |
      | with another request's id       | swapped   |
      | with another pipeline           | swapped   |
      | with another request's output   | swapped   |
      | with a changed output           | wrong     |
      | with verdict may_have_run       | malformed |
      | a valid refusal                 | refused   |
      | a refusal without problem type  | malformed |
      | a refusal with unknown reason   | malformed |
      | a refusal with another status   | malformed |
      | a refusal without verdict       | malformed |
      | a refusal of another request    | swapped   |
      | a refusal that contradicts itself | malformed |
      | an error that is not JSON       | malformed |

  Scenario Outline: Every kind of wrong stream is recognized
    Guards against a check that accepts this kind of stream.
    When a stream is "<change>"
    Then the outcome is "<outcome>"

    Examples:
      | change                        | outcome   |
      | as expected                   | whole     |
      | without end                   | cut       |
      | without the last token        | cut       |
      | with a wrong count in the end | cut       |
      | with an end of another digest | cut       |
      | with a token twice            | wrong     |
      | with tokens out of order      | wrong     |
      | with a changed token          | wrong     |
      | with a token after the end    | wrong     |
      | of another request            | swapped   |
      | with an event that isn't JSON | malformed |
      | with an unknown event         | malformed |
      | a valid error                 | refused   |
      | not_run after tokens          | malformed |

  Scenario Outline: Events are parsed however their bytes are split
    Guards against tokens that are lost where the network splits an event.
    When the events "<text>" arrive <size> bytes at a time
    Then the events read are "token:1;end:2 3"

    Examples:
      | text                                                 | size |
      | event: token~data: 1~~event: end~data: 2 3~~         | 1    |
      | event: token~data: 1~~event: end~data: 2 3~~         | 7    |
      | event:token^data:1^^event:end^data:2 3^^             | 1    |
      | event:token^data:1^^event:end^data:2 3^^             | 100  |
