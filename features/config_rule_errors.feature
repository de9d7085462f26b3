Feature: Errors of ordered rules
  A document is rejected if one of its rules can never decide a request or
  contradicts itself.

  Scenario: Rules that are never reached
    Guards against a rule that is accepted although an earlier one always
    decides before it, and against a reachable rule that is rejected.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a", "b"]
      pool = [
          { name = "p", kind = "service", upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }] },
          { name = "q", kind = "service", upstream = [{ name = "u2", address = "127.0.0.1:2", failure_domain = "a", slots = 1 }] },
      ]
      pipeline = [
          { name = "sale", stages = [{ name = "sell", pool = "p" }] },
          { name = "news", stages = [{ name = "send", pool = "p" }] },
      ]
      account = [{ name = "one" }, { name = "two" }]
      rule = [
          { name = "r1", when = { hours_utc = "22-06", stream = true } },
          { name = "no-stream", when = { hours_utc = "23-05" } },
          { name = "r2", when = { hours_utc = "23-05", stream = true, account = "one" } },
          { name = "r3", when = { deadline_below_s = 5, pipeline = ["sale", "news"] } },
          { name = "r4", when = { deadline_below_s = 4 } },
          { name = "r5", when = { deadline_below_s = 6 } },
          { name = "r6", when = { pool_busy_above = { pool = "p", fraction = 0.5 } } },
          { name = "r7", when = { pool_busy_above = { pool = "p", fraction = 0.6 } } },
          { name = "other-pool", when = { pool_busy_above = { pool = "q", fraction = 0.6 } } },
          { name = "r8", when = { pool_busy_above = { pool = "p", fraction = 0.4 } } },
          { name = "r9", when = { deadline_above_s = 20, account = ["one", "two"] } },
          { name = "r10", when = { deadline_above_s = 30 } },
          { name = "r11", when = { label = ["x", "y"] } },
          { name = "r12", when = { label = "y" } },
          { name = "r13", when = { label = ["y", "z"] } },
          { name = "r14", when = { stream = false } },
          { name = "r15", when = { hours_utc = "00-24" } },
          { name = "rest" },
      ]
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:16: rule "r2" is never reached: rule "r1" on line 14 always holds when it does
      fleet.toml:18: rule "r4" is never reached: rule "r3" on line 17 always holds when it does
      fleet.toml:21: rule "r7" is never reached: rule "r6" on line 20 always holds when it does
      fleet.toml:25: rule "r10" is never reached: rule "r9" on line 24 always holds when it does
      fleet.toml:27: rule "r12" is never reached: rule "r11" on line 26 always holds when it does
      fleet.toml:31: rule "rest" is never reached: rule "r15" on line 30 always holds when it does
      """

  Scenario: The last rule does not always hold
    Guards against requests that no rule decides.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a", "b"]
      pool = [{ name = "p", kind = "service", upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }] }]
      pipeline = [{ name = "sale", stages = [{ name = "sell", pool = "p" }] }]
      account = [{ name = "one" }, { name = "two" }]
      rule = [{ name = "first", when = { account = "one" } }]
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:7: rule "first" is the last and does not always hold; allowed: a last rule without conditions
      """

  Scenario: Rules that contradict themselves or a pool's contract
    Guards against a rule that never holds, a refusal with other actions that
    have no effect, and a payment that a rule sends to a pool whose calls are
    retried.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a"]
      pool = [
          { name = "pay", kind = "service", idempotent = false, upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }] },
          { name = "log", kind = "service", upstream = [{ name = "u2", address = "127.0.0.1:2", failure_domain = "a", slots = 1 }] },
          { name = "enc", kind = "encode", upstream = [{ name = "u3", address = "127.0.0.1:3", failure_domain = "a", slots = 1 }] },
      ]
      pipeline = [
          { name = "sale", key_required = true, stages = [{ name = "pay", pool = "pay" }] },
          { name = "news", stages = [{ name = "send", pool = "log" }] },
      ]
      account = [{ name = "one" }]
      rule = [
          { name = "never", when = { deadline_below_s = 3, deadline_above_s = 3 } },
          { name = "both", when = { stream = true }, then = { refuse = "No.", priority = 1 } },
          { name = "retried", when = { account = "one", pipeline = "sale" }, then = { pools = { pay = "log", send = "log" } } },
          { name = "rest", then = { pools = { send = "enc" } } },
      ]
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:15: rule "never" never holds: deadline_below_s = 3; allowed: above deadline_above_s = 3
      fleet.toml:16: rule "both" refuses and sets priority; allowed: refuse alone
      fleet.toml:17: rule "retried" sends the stage "pay" from pool "pay" to "log"; allowed: a pool with idempotent = false
      fleet.toml:17: rule "retried" sets a pool for the stage "send", which its pipelines do not have; allowed: a stage of its pipelines
      fleet.toml:18: rule "rest" sends the stage "send" from pool "log" to "enc"; allowed: a pool with kind = "service"
      """
