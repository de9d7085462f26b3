Feature: Answers that no sound stage upstream gives
  Guards against an answer that ends the processes of all instances
  (inc-endless-report): the scheduler of a pool ended when it read the answer,
  and the next one in the same way.

  Scenario Outline: A stage upstream sends bytes that are no whole answer
    Given relay instances one, two with 2 stage upstreams and an engine
    And a stage upstream that answers <target> with <what>
    When 12 callers send staged requests with 1,1 pieces over 3 s
    Then every caller gets an answer
    And a log line of the kind <event> says <detail>

    Examples:
      | target      | what               | event          | detail                                |
      | /report     | fast bytes         | report_failed  | the body is longer than 4194304 bytes |
      | /report     | slow bytes         | report_failed  | not all of its 2 upstreams reported   |
      | /report     | a body that is cut | report_failed  | truncated: RemoteProtocolError        |
      | /stage-run  | fast bytes         | stage_call     | the body is longer than 4194304 bytes |
      | /stage-run  | slow bytes         | stage_call     | timeout: no answer in time            |
      | /stage-run  | a body that is cut | stage_call     | truncated: RemoteProtocolError        |
      | /stage-free | fast bytes         | release_failed | the body is longer than 4194304 bytes |
      | /stage-free | slow bytes         | release_failed | no answer in 1.000 s                  |
      | /stage-free | a body that is cut | release_failed | truncated: RemoteProtocolError        |
