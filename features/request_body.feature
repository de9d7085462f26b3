Feature: Bodies of requests that take their time
  Guards against bodies within the limits that are refused in calm, and against
  ones that never end.

  Scenario Outline: A body arrives slowly
    Guards against a client on a slow network whose request is refused while
    there is time and memory for it.
    Given a route with a time-out of 20 s and an idle limit of 3 s
    When a caller sends its body for <upload> s with a deadline of <deadline> s
    Then its request ends with <status>

    Examples:
      | upload | deadline | status |
      | 1      | 18       | 200    |
      | 8      | 18       | 200    |
      | 15     | 18       | 200    |
      | 15     | 12       | 408    |
      | 25     | 30       | 408    |

  Scenario: A body stops
    Guards against a body that holds its memory until the deadline.
    Given a route with a time-out of 20 s and an idle limit of 3 s
    When a caller stops within its body
    Then its request ends with 408
    And it took at most 6 s
