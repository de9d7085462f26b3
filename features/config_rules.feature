Feature: Ordered rules
  The first rule whose conditions all hold decides, so that an operator can
  predict the decision from the text of the rules.

  Background:
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a", "b"]

      [[pool]]
      name = "writer"
      kind = "generate"
      model = "m"
      upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }]

      [[pool]]
      name = "small-writer"
      kind = "generate"
      model = "s"
      upstream = [{ name = "u2", address = "127.0.0.1:2", failure_domain = "b", slots = 1 }]

      [[pipeline]]
      name = "sale"
      stages = [{ name = "write", pool = "writer" }]

      [[pipeline]]
      name = "news"
      stages = [{ name = "write", pool = "writer" }]

      [[account]]
      name = "one"

      [[account]]
      name = "two"

      [[rule]]
      name = "blocked"
      when = { account = "two", pipeline = ["sale", "news"], label = "bulk" }
      then = { refuse = "Bulk orders are closed." }

      [[rule]]
      name = "short"
      when = { deadline_below_s = 2 }
      then = { queue = false, retry = false, pools = { write = "small-writer" } }

      [[rule]]
      name = "patient"
      when = { deadline_above_s = 30, failure_domain = "b" }
      then = { spill = "never", priority = 9 }

      [[rule]]
      name = "busy"
      when = { pool_busy_above = { pool = "writer", fraction = 0.8 } }
      then = { max_tokens = 64 }

      [[rule]]
      name = "night"
      when = { hours_utc = "22-06", stream = true }
      then = { hedge = true, spill = "any" }

      [[rule]]
      name = "noon"
      when = { hours_utc = "11-13" }

      [[rule]]
      name = "rest"
      """
    When the document is loaded as revision 1
    Then the document has no errors

  Scenario: Each condition holds exactly at its bounds
    Guards against conditions that are off by one or compare the wrong fact, and
    against a later rule that decides before an earlier one.
    Then these requests are decided by these rules
      | request                                                     | rule    |
      | hour_utc = 9                                                | rest    |
      | hour_utc = 9; account = "two"; label = "bulk"               | blocked |
      | hour_utc = 9; account = "one"; label = "bulk"               | rest    |
      | hour_utc = 9; account = "two"; label = ""                   | rest    |
      | hour_utc = 9; account = "two"; pipeline = "news"; label = "bulk"; deadline_s = 1 | blocked |
      | hour_utc = 9; account = "two"; pipeline = "ne"; label = "bulk" | rest |
      | hour_utc = 9; deadline_s = 1.99                             | short   |
      | hour_utc = 9; deadline_s = 2                                | rest    |
      | hour_utc = 9; deadline_s = 30; failure_domain = "b"         | rest    |
      | hour_utc = 9; deadline_s = 30.1; failure_domain = "b"       | patient |
      | hour_utc = 9; deadline_s = 30.1; failure_domain = "a"       | rest    |
      | hour_utc = 9; pool_busy = { writer = 0.8 }                  | rest    |
      | hour_utc = 9; pool_busy = { writer = 0.81 }                 | busy    |
      | hour_utc = 9; pool_busy = { small-writer = 1.0 }            | rest    |
      | hour_utc = 21; stream = true                                | rest    |
      | hour_utc = 22; stream = true                                | night   |
      | hour_utc = 0; stream = true                                 | night   |
      | hour_utc = 5; stream = true                                 | night   |
      | hour_utc = 6; stream = true                                 | rest    |
      | hour_utc = 22                                               | rest    |
      | hour_utc = 10                                               | rest    |
      | hour_utc = 11                                               | noon    |
      | hour_utc = 13                                               | rest    |

  Scenario: A rule without actions decides the defaults
    Guards against a decision whose defaults are not the documented ones.
    Given a request to the rules with
      | fact     | value  |
      | pipeline | "sale" |
      | account  | "one"  |
      | hour_utc | 9      |
    Then the decision of the rules has
      | field | value  |
      | rule  | "rest" |
      | line  | 60     |
    And every other field of the decision has its default

  Scenario Outline: Each action sets its field of the decision
    Guards against an action that sets no field or the wrong one.
    Given a request to the rules with
      | fact           | value        |
      | pipeline       | "sale"       |
      | account        | "two"        |
      | hour_utc       | 23           |
      | stream         | true         |
      | failure_domain | "b"          |
      | label          | <label>      |
      | deadline_s     | <deadline_s> |
      | pool_busy      | <busy>       |
    Then the decision of the rules has
      | field   | value   |
      | rule    | <rule>  |
      | line    | <line>  |
      | <field> | <value> |

    Examples:
      | rule      | line | label  | deadline_s | busy           | field      | value                      |
      | "blocked" | 31   | "bulk" | 1          | {}             | refuse     | "Bulk orders are closed."  |
      | "short"   | 36   | ""     | 1          | {}             | queue      | false                      |
      | "short"   | 36   | ""     | 1          | {}             | retry      | false                      |
      | "short"   | 36   | ""     | 1          | {}             | pools      | { write = "small-writer" } |
      | "patient" | 41   | ""     | 60         | {}             | spill      | "never"                    |
      | "patient" | 41   | ""     | 60         | {}             | priority   | 9                          |
      | "busy"    | 46   | ""     | 10         | { writer = 1 } | max_tokens | 64                         |
      | "night"   | 51   | ""     | 10         | {}             | hedge      | true                       |

  Scenario: An explanation names every comparison
    Guards against an explanation that differs from the decision, or that
    does not show which condition of a rule did not hold.
    Given a request to the rules with
      | fact      | value            |
      | pipeline  | "sale"           |
      | account   | "two"            |
      | hour_utc  | 23               |
      | pool_busy | { writer = 0.9 } |
    Then the decision of the rules has
      | field | value  |
      | rule  | "busy" |
    And the explanation of the rules is
      """
      blocked held False
        account held True: observed "two"
        pipeline held True: observed "sale"
        label held False: observed ""
      short held False
        deadline_below_s held False: observed 10.0
      patient held False
        deadline_above_s held False: observed 10.0
        failure_domain held False: observed ""
      busy decides
        pool_busy_above held True: observed 0.9
      night held False
        hours_utc held True: observed 23
        stream held False: observed false
      noon held False
        hours_utc held False: observed 23
      rest held True
      """
