Feature: Fault matrix of an idempotent service
  Each row injects a fault when the first of several concurrent requests
  reaches the step, with requests of the other pipelines in flight, and then
  checks P1 to P7 on the replies of the callers and the execution records of the
  stand-ins. docs/fault-matrix.md shows the table.

  Scenario Outline: encode: <fault> at <step>
    Guards against a wrong, lost or duplicate result or a false verdict.
    When the matrix injects "<fault>" into encode at "<step>"
    Then the matrix run violates no property

    Examples:
      | fault           | step           |
      | refuse          | accepted       |
      | refuse          | queued         |
      | refuse          | connecting     |
      | refuse          | written        |
      | refuse          | answering      |
      | refuse          | between stages |
      | refuse          | draining       |
      | kill            | accepted       |
      | kill            | queued         |
      | kill            | connecting     |
      | kill            | written        |
      | kill            | answering      |
      | kill            | between stages |
      | kill            | draining       |
      | reset           | accepted       |
      | reset           | queued         |
      | reset           | connecting     |
      | reset           | written        |
      | reset           | answering      |
      | reset           | between stages |
      | reset           | draining       |
      | freeze          | accepted       |
      | freeze          | queued         |
      | freeze          | connecting     |
      | freeze          | written        |
      | freeze          | answering      |
      | freeze          | between stages |
      | freeze          | draining       |
      | slow            | accepted       |
      | slow            | queued         |
      | slow            | connecting     |
      | slow            | written        |
      | slow            | between stages |
      | slow            | draining       |
      | truncate        | answering      |
      | truncate        | between stages |
      | truncate        | draining       |
      | duplicate       | answering      |
      | duplicate       | between stages |
      | duplicate       | draining       |
      | entry kill      | accepted       |
      | entry kill      | queued         |
      | entry kill      | connecting     |
      | entry kill      | written        |
      | entry kill      | answering      |
      | entry kill      | between stages |
      | entry kill      | replying       |
      | entry kill      | draining       |
      | entry pause     | accepted       |
      | entry pause     | queued         |
      | entry pause     | connecting     |
      | entry pause     | written        |
      | entry pause     | answering      |
      | entry pause     | between stages |
      | entry pause     | replying       |
      | entry pause     | draining       |
      | rolling restart | accepted       |
      | rolling restart | queued         |
      | rolling restart | connecting     |
      | rolling restart | written        |
      | rolling restart | answering      |
      | rolling restart | between stages |
      | rolling restart | replying       |
      | domains cut     | accepted       |
      | domains cut     | queued         |
      | domains cut     | connecting     |
      | domains cut     | written        |
      | domains cut     | answering      |
      | domains cut     | between stages |
      | domains cut     | replying       |
      | domains cut     | draining       |
      | platform cut    | accepted       |
      | platform cut    | queued         |
      | platform cut    | connecting     |
      | platform cut    | written        |
      | platform cut    | answering      |
      | platform cut    | between stages |
      | platform cut    | replying       |
      | platform cut    | draining       |
      | platform down   | accepted       |
      | platform down   | queued         |
      | platform down   | connecting     |
      | platform down   | written        |
      | platform down   | answering      |
      | platform down   | between stages |
      | platform down   | replying       |
      | platform down   | draining       |
      | platform stale  | accepted       |
      | platform stale  | queued         |
      | platform stale  | connecting     |
      | platform stale  | written        |
      | platform stale  | answering      |
      | platform stale  | between stages |
      | platform stale  | replying       |
      | platform stale  | draining       |
      | platform back   | accepted       |
      | platform back   | queued         |
      | platform back   | connecting     |
      | platform back   | written        |
      | platform back   | answering      |
      | platform back   | between stages |
      | platform back   | replying       |
      | platform back   | draining       |
      | burst           | accepted       |
      | burst           | queued         |
      | burst           | connecting     |
      | burst           | written        |
      | burst           | answering      |
      | burst           | between stages |
      | burst           | replying       |
      | burst           | draining       |
      | list lagging    | accepted       |
      | list lagging    | queued         |
      | list lagging    | connecting     |
      | list lagging    | written        |
      | list lagging    | answering      |
      | list lagging    | between stages |
      | list lagging    | replying       |
      | list lagging    | draining       |
      | list wrong      | accepted       |
      | list wrong      | queued         |
      | list wrong      | connecting     |
      | list wrong      | written        |
      | list wrong      | answering      |
      | list wrong      | between stages |
      | list wrong      | replying       |
      | list wrong      | draining       |
      | two operators   | accepted       |
      | two operators   | queued         |
      | two operators   | connecting     |
      | two operators   | written        |
      | two operators   | answering      |
      | two operators   | between stages |
      | two operators   | replying       |
      | two operators   | draining       |
