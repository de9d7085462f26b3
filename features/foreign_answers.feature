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
      | /report     | fast bytes         | report_failed  | the body is longer than 262144 bytes  |
      | /report     | slow bytes         | report_failed  | not all of its 2 upstreams reported   |
      | /report     | a body that is cut | report_failed  | truncated: RemoteProtocolError        |
      | /stage-run  | fast bytes         | stage_call     | the body is longer than 262144 bytes  |
      | /stage-run  | slow bytes         | stage_call     | timeout: no answer in time            |
      | /stage-run  | a body that is cut | stage_call     | truncated: RemoteProtocolError        |
      | /stage-free | fast bytes         | release_failed | the body is longer than 262144 bytes  |
      | /stage-free | slow bytes         | release_failed | no answer in 1.000 s                  |
      | /stage-free | a body that is cut | release_failed | truncated: RemoteProtocolError        |

  Scenario Outline: A stage upstream answers with values of other types
    Guards against a handle that is a list, which ended the scheduler, and a
    number that is none, by which calls were planned.
    Given relay instances one, two with 2 stage upstreams and an engine
    And a stage upstream whose answer to <target> is the JSON <text>
    When 12 callers send staged requests with 1,1 pieces over 3 s
    Then every caller gets an answer
    And a log line of the kind <event> says <detail>

    Examples:
      | target     | text                              | event         | detail                                                                           |
      | /report    | []                                | report_failed | s0 did not report its free result memory: the report of free memory is malformed |
      | /report    | {"freeMb": [1]}                   | report_failed | s0 did not report its free result memory: the report of free memory is malformed |
      | /report    | {"freeMb": true}                  | report_failed | s0 did not report its free result memory: the report of free memory is malformed |
      | /report    | {"freeMb": "nan"}                 | report_failed | s0 did not report its free result memory: the report of free memory is malformed |
      | /report    | {"freeMb": -1}                    | report_failed | s0 did not report its free result memory: the report of free memory is malformed |
      | /report    | {"freeMb": 1e308}                 | report_failed | s0 did not report its free result memory: the report of free memory is malformed |
      | /stage-run | []                                | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": 3}                      | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": {"handle": "h"}}        | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [3]}                    | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [null]}                 | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [{"handle": ["h"]}]}    | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [{"handle": {}}]}       | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [{"handle": 7}]}        | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [{"handle": "h,1"}]}    | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [{"reason": ["late"]}]} | stage_call    | the answer of a stage call is malformed                                          |
      | /stage-run | {"items": [{"reason": false}]}    | stage_call    | the answer of a stage call is malformed                                          |

  Scenario Outline: A report that is no success is not believed
    Guards against free memory that is read from a failure
    (inc-unsigned-success).
    Given relay instances one, two with 2 stage upstreams and an engine
    And a stage upstream whose answer to /report is the JSON {"freeMb": 0}
    And its status is <status>
    When 12 callers send staged requests with 1,1 pieces over 3 s
    Then every caller gets an answer
    And a log line of the kind report_failed says s0 did not report its free result memory: status <status>

    Examples:
      | status |
      | 202    |
      | 404    |
      | 503    |

  Scenario Outline: An answer of no valid status to a stage upstream's call
    Guards against results and reports that are believed though their status is
    none of HTTP (inc-early-answer).
    Given relay instances one, two with 2 stage upstreams and an engine
    And a stage upstream whose answer to <target> is the JSON <text>
    And the status of its answers to <target> is <status>
    When 12 callers send staged requests with 1,1 pieces over 3 s
    Then every caller gets an answer
    And a log line of the kind <event> says the status is <status>

    Examples:
      | target      | text                      | status | event          |
      | /report     | {"freeMb": 0}             | 600    | report_failed  |
      | /stage-run  | {"items":[{"handle":"a"}]} | 600    | stage_call     |
      | /stage-run  | {"items":[{"handle":"a"}]} | 999    | stage_call     |
      | /stage-free | {}                        | 600    | release_failed |

  Scenario: Whatever JSON a stage upstream answers with is malformed or has the stated types
    Guards against a type that a check forgets.
    Then any of 500 generated answers is malformed or has usable handles and numbers

  Scenario: Whatever headers an answer has, they are read
    Guards against a header that ends the call of each upstream that sends it, and
    the scheduler with it.
    Then the headers of any of 1000 generated answers are decoded
