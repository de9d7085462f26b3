Feature: Connections to an upstream that requests wait for
  Guards against requests that fail, or connections beyond the limit, since
  requests take connections at the same time.

  Scenario Outline: Connections are replaced at the same time
    Guards against more connections than the limit: while an idle one is closed
    for a request that it can't carry, another request takes its place.
    Given an upstream with at most <limit> connections, all idle
    When <count> requests that they can't carry come at once
    Then it never has more than <limit> connections

    Examples:
      | limit | count |
      | 2     | 2     |
      | 4     | 3     |
      | 4     | 12    |

  Scenario: A request waits while others come
    Guards against a request that gets no connection, since requests that came
    later take each one that is released.
    Given an upstream with at most 1 connections, all idle
    And a client that sends one request of 0.05 s after the other
    When a request of another client comes and waits 0.4 s at most
    Then it gets a connection after one request of the first client

  Scenario: The connection that others wait for fails to close
    Guards against requests that wait for a connection although none is in use.
    Given an upstream with at most 1 connections, all idle
    And its connections fail to close
    When a request ends whose connection is closed, while another one waits
    Then that one gets a connection at once
