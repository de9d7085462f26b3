Feature: Open-loop load
  Guards against a load generator that waits for the system under test, whose
  load differs between runs with the same seed, or that counts wrongly.

  Scenario: The same seed gives the same arrivals
    Guards against runs whose results cannot be compared.
    Given a load of 100 requests a second for 10 s
    Then seed 1 gives the same arrivals twice and seed 2 gives others
    And between 900 and 1100 requests arrive

  Scenario: Arrivals have the configured weights and shares
    Guards against a mix of requests other than the configured one.
    Given a load of 100 requests a second for 10 s
    And the setting stream_share is 0.5
    And the setting resubmit_share is 0.2
    Then about 0.75 are of pipeline "chat" and 0.25 of "pay"
    And about 0.5 of "chat" and 0.0 of "pay" are streamed
    And about 0.2 are submitted again, all of them with a key

  Scenario: Slow answers do not delay arrivals
    Guards against a closed loop, which hides overload.
    Given a load of 10 requests a second for 3 s
    And entry instances that answer after 5 s
    When the load is run
    Then every request was in flight at once

  Scenario: Complete answers are counted and timed
    Guards against answers that are missing in the counts.
    Given a load of 10 requests a second for 3 s
    And the setting stream_share is 1.0
    And entry instances that answer after 0.5 s
    When the load is run
    Then every outcome is "whole" and no fault is found
    And the attainment is 1.0
    And the first token took 500 ms and each gap 20 ms

  Scenario Outline: Faulty answers are counted
    Guards against a run that reports no fault although there was one.
    Given a load of 10 requests a second for 3 s
    And the setting stream_share is <streamed>
    And entry instances that are "<fault>"
    When the load is run
    Then every outcome is "<outcome>" and every one is a fault
    And the attainment is 0.0

    Examples:
      | fault           | streamed | outcome    |
      | cut             | 0.0      | cut        |
      | cut             | 1.0      | cut        |
      | swapped         | 0.0      | swapped    |
      | wrong           | 0.0      | wrong      |
      | garbage         | 0.0      | cut        |
      | silent          | 0.0      | unanswered |
      | silent          | 1.0      | unanswered |
      | unreachable     | 0.0      | broken     |
      | broken          | 1.0      | broken     |

  Scenario: Late answers and refusals are counted
    Guards against an attainment that includes late answers.
    Given a load of 10 requests a second for 3 s
    And entry instances that answer after 3 s
    When the load is run
    Then every outcome is "whole" and no fault is found
    And all answers are late
    And the attainment is 0.0

  Scenario: Refusals are counted by reason and verdict
    Guards against a total that does not tell refusals apart.
    Given a load of 10 requests a second for 3 s
    And entry instances that are "overloaded"
    When the load is run
    Then every outcome is "refused" and no fault is found
    And all refusals are "overloaded,not_run,not_run"

  Scenario: A resubmission at the same time goes to another target
    Guards against resubmissions that never compete at two instances.
    Given a load of 10 requests a second for 3 s
    And the setting resubmit_share is 1.0
    And the setting resubmit_mode is "same_time"
    And entry instances that answer after 0.1 s
    When the load is run
    Then each key was seen at two targets at the same time with one input
    And the attainment is 1.0

  Scenario: A resubmission after a failure goes to another target
    Guards against a failure that is never resubmitted.
    Given a load of 10 requests a second for 3 s
    And the setting resubmit_share is 1.0
    And the setting resubmit_mode is "after_failure"
    And entry instances that are "overloaded at first"
    When the load is run
    Then each key was seen at two targets with one input
    And the attainment is 1.0

  Scenario: Issued keys go to the instance that issued them
    Guards against keys that the receiving instance does not own, and against
    answer times that include the call for keys.
    Given a load of 10 requests a second for 3 s
    And the setting key_share is 1.0
    And the setting issued_keys is true
    And entry instances that answer after 0.1 s
    When the load is run
    Then each key was issued by the target that it was sent to
    And no answer took over 100 ms

  Scenario: Requests over the bound are counted and not queued
    Guards against a generator that becomes a closed loop without a notice.
    Given a load of 10 requests a second for 3 s
    And entry instances that answer after 5 s
    When the load is run with at most 4 in flight
    Then 4 requests were sent and the remaining ones counted as not sent

  Scenario Outline: Wrong usage ends with code 2
    Guards against a run with other settings than the caller asked for.
    When the program is run with "<flag>" set to "<value>"
    Then its exit code is 2 and the message names "<flag>"

    Examples:
      | flag         | value        |
      | rate         | 0            |
      | stream_share | 1.5          |
      | tokens       | 9-3          |
      | accounts     | a=-1         |
      | accounts     | a=x          |
      | chains       | chat         |
      | chains       | chat=dream:x |
      | chains       | pay=service  |
      | targets      | ,            |
      | grace        | -1           |

  Scenario Outline: The exit code reports faults
    Guards against a run in CI that passes although answers are missing.
    When the program is run against a closed port with tolerance <tolerance>
    Then its exit code is <code> and the file counts broken connections

    Examples:
      | tolerance | code |
      | false     | 1    |
      | true      | 0    |

  Scenario: Records that cannot be fetched are a fault
    Guards against a comparison that passes because nothing was compared.
    When the program is run against a closed port with records from it
    Then its exit code is 1 and the file counts "no_record"
