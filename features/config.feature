Feature: Errors of a configuration document
  Loading reports all errors of a document together, each with its line, the
  field, the value met and what is allowed. A document with an error is never
  accepted.

  Scenario: A valid document has no errors and gets its defaults
    Guards against checks that reject a valid document, and against wrong
    defaults.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a", "b"]
      based_on = 6

      [[pool]]
      name = "shop"
      kind = "service"
      [[pool.upstream]]
      name = "shop-1"
      address = "[::1]:8080"
      failure_domain = "b"
      slots = 4

      [[pipeline]]
      name = "sale"
      stages = [{ name = "sell", pool = "shop" }]

      [[account]]
      name = "one"

      [[rule]]
      name = "rest"
      """
    When the document is loaded as revision 7
    Then the document has no errors
    And its rules start on the lines 22
    And its pool shop has the field timeout_s = 5.0
    And its pool shop has the field idempotent = true
    And its pool shop has the field queue_max = 256

  Scenario: Missing fields, unknown fields and lists that are too short
    Guards against a misspelt field that is ignored without an error.
    Given the configuration document
      """
      sight = "Pier"
      region = "north pole"
      failure_domains = ["a", "a"]
      pipeline = []
      account = [{ nam = "one" }]

      [[pool]]
      name = "shop"
      kind = "service"
      time_out = 3
      [pool.upstream]
      name = "shop-1"

      [[rule]]
      name = "rest"
      when = { acount = "one" }
      then = { spil = "any" }
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:1: the document has the unknown field "sight"; allowed: site, region, failure_domains, prefer, weight_loads_per_s, key_memory_s, based_on, pool, pipeline, account, rule
      fleet.toml:1: the document lacks the field site; allowed: text of 1 to 200 printable characters
      fleet.toml:2: the document has region = "north pole"; allowed: 1 to 64 letters, digits, '.', '_' or '-'
      fleet.toml:3: the document has failure_domains = ["a", "a"]; allowed: a list of 1 to 64 distinct: 1 to 64 letters, digits, '.', '_' or '-'
      fleet.toml:4: the document has a list pipeline of length 0; allowed: a list of 1 to 1000 tables
      fleet.toml:5: account number 1 has the unknown field "nam"; allowed: name, weight, home, trusted_clock
      fleet.toml:5: account number 1 lacks the field name; allowed: 1 to 64 letters, digits, '.', '_' or '-'
      fleet.toml:10: pool "shop" has the unknown field "time_out"; allowed: name, kind, idempotent, effect, fencing, reports_load, checks_keys, cache_events, resumes, refusal_not_run, expected_s, timeout_s, queue_max, cost, model, adapter, version, role, max_tokens, upstream
      fleet.toml:11: pool "shop" has upstream = { name = "shop-1" }; allowed: a list of 1 to 1000 tables
      fleet.toml:14: rule "rest" is the last and does not always hold; allowed: a last rule without conditions
      fleet.toml:16: rule "rest" has the unknown field "when.acount"; allowed: pipeline, account, failure_domain, deadline_below_s, deadline_above_s, hours_utc, stream, label, pool_busy_above
      fleet.toml:17: rule "rest" has the unknown field "then.spil"; allowed: refuse, priority, spill, hedge, retry, max_tokens, pools, queue
      """

  Scenario: Values of the wrong type or out of range
    Guards against an invalid value that fails only when a request uses it.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a"]
      prefer = "speed"

      [[pool]]
      name = "shop"
      kind = "shop"
      idempotent = 1
      expected_s = nan
      timeout_s = 601
      queue_max = true
      refusal_not_run = [200]
      upstream = [
          { name = "u1", address = "localhost:80", failure_domain = "a", slots = 0 },
          { name = "u2", address = "::1:80", failure_domain = "a", slots = 1.0 },
          { name = "u3", address = "127.0.0.1:65536", failure_domain = "a", slots = 1.0 },
      ]

      [[pipeline]]
      name = "sale"
      stages = [{ name = "sell", pool = "shop" }]
      objective = 1.5

      [[account]]
      name = "one"
      weight = -1

      [[rule]]
      name = "night"
      when = { hours_utc = "6-22", stream = "yes", account = [], pool_busy_above = { pool = "shop", fraction = 80 } }
      then = { priority = 10, spill = "always", max_tokens = 0, pools = {} }

      [[rule]]
      name = "same"
      when = { hours_utc = "06-06" }

      [[rule]]
      name = "rest"
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:4: the document has prefer = "speed"; allowed: "attainment", "cost"
      fleet.toml:8: pool "shop" has kind = "shop"; allowed: "encode", "retrieve", "rerank", "generate", "service"
      fleet.toml:9: pool "shop" has idempotent = 1; allowed: true, false
      fleet.toml:10: pool "shop" has expected_s = nan; allowed: 0.001 to 600.0
      fleet.toml:11: pool "shop" has timeout_s = 601; allowed: 0.001 to 600.0
      fleet.toml:12: pool "shop" has queue_max = true; allowed: 0 to 100000
      fleet.toml:13: pool "shop" has refusal_not_run = [200]; allowed: a list of 0 to 64 distinct: 400 to 599
      fleet.toml:15: upstream "u1" has address = "localhost:80"; allowed: IP:port, for example 127.0.0.1:8080
      fleet.toml:15: upstream "u1" has slots = 0; allowed: 1 to 10000
      fleet.toml:16: upstream "u2" has address = "::1:80"; allowed: IP:port, for example 127.0.0.1:8080
      fleet.toml:16: upstream "u2" has slots = 1.0; allowed: 1 to 10000
      fleet.toml:17: upstream "u3" has address = "127.0.0.1:65536"; allowed: IP:port, for example 127.0.0.1:8080
      fleet.toml:17: upstream "u3" has slots = 1.0; allowed: 1 to 10000
      fleet.toml:23: pipeline "sale" has objective = 1.5; allowed: 0 to 1
      fleet.toml:27: account "one" has weight = -1; allowed: 0.001 to 1000
      fleet.toml:31: rule "night" has when.account = []; allowed: a defined account or a non-empty list of them
      fleet.toml:31: rule "night" has when.hours_utc = "6-22"; allowed: two different hours "HH-HH", for example "22-06" or "00-24"
      fleet.toml:31: rule "night" has when.pool_busy_above = { pool = "shop", fraction = 80 }; allowed: { pool = a defined pool, fraction = 0 to 1 }
      fleet.toml:31: rule "night" has when.stream = "yes"; allowed: true, false
      fleet.toml:32: rule "night" has then.max_tokens = 0; allowed: 1 to 1000000
      fleet.toml:32: rule "night" has then.pools = {}; allowed: a non-empty table of stage name = a defined pool
      fleet.toml:32: rule "night" has then.priority = 10; allowed: 0 to 9
      fleet.toml:32: rule "night" has then.spill = "always"; allowed: "never", "full", "any"
      fleet.toml:36: rule "same" has when.hours_utc = "06-06"; allowed: two different hours "HH-HH", for example "22-06" or "00-24"
      """

  Scenario: Duplicate names and undefined names
    Guards against work that is routed to another pool or failure domain than
    the operator meant, or to one that does not exist.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a"]

      [[pool]]
      name = "shop"
      kind = "service"
      upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }]

      [[pool]]
      name = "shop"
      kind = "service"
      upstream = [
          { name = "u1", address = "127.0.0.1:2", failure_domain = "b", slots = 1 },
          { name = "u2", address = "127.0.0.1:1", failure_domain = "a", slots = 1 },
      ]

      [[pipeline]]
      name = "sale"
      stages = [
          { name = "sell", pool = "shop" },
          { name = "sell", pool = "shopp" },
      ]

      [[pipeline]]
      name = "sale"
      stages = [{ name = "pack", pool = "shop" }]

      [[account]]
      name = "one"
      home = "c"

      [[account]]
      name = "one"

      [[rule]]
      name = "night"
      when = { pipeline = ["sale", "sales"], account = "two", failure_domain = "d", pool_busy_above = { pool = "store", fraction = 0.5 } }

      [[rule]]
      name = "night"
      then = { pools = { sel = "store" } }
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:11: pool "shop" repeats the name "shop" of line 6; allowed: a unique name
      fleet.toml:14: upstream "u1" names the undefined failure domain "b" in failure_domain; allowed: a defined failure domain
      fleet.toml:14: upstream "u1" repeats the name "u1" of line 8; allowed: a unique name
      fleet.toml:15: upstream "u2" repeats the address "127.0.0.1:1" of line 8; allowed: a unique address
      fleet.toml:22: pipeline "sale" stage "sell" names the undefined pool "shopp" in pool; allowed: a defined pool
      fleet.toml:22: pipeline "sale" stage "sell" repeats the name "sell" of line 21; allowed: a unique name
      fleet.toml:26: pipeline "sale" repeats the name "sale" of line 19; allowed: a unique name
      fleet.toml:31: account "one" names the undefined failure domain "c" in home; allowed: a defined failure domain
      fleet.toml:34: account "one" repeats the name "one" of line 30; allowed: a unique name
      fleet.toml:38: rule "night" names the undefined account "two" in account; allowed: a defined account
      fleet.toml:38: rule "night" names the undefined failure domain "d" in failure_domain; allowed: a defined failure domain
      fleet.toml:38: rule "night" names the undefined pipeline "sales" in pipeline; allowed: a defined pipeline
      fleet.toml:38: rule "night" names the undefined pool "store" in pool_busy_above; allowed: a defined pool
      fleet.toml:41: rule "night" repeats the name "night" of line 37; allowed: a unique name
      fleet.toml:42: rule "night" names the undefined pool "store" in pools; allowed: a defined pool
      fleet.toml:42: rule "night" names the undefined stage "sel" in pools; allowed: a defined stage
      """

  Scenario: Values that contradict each other
    Guards against a pipeline that can never answer in time, a payment that
    runs twice because its pipeline leaves open whether a key is required, a
    key that is discarded before its deadline, and a document based on an old
    revision that undoes another operator's change.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a"]
      based_on = 7
      key_memory_s = 20

      [[pool]]
      name = "payments"
      kind = "service"
      idempotent = false
      effect = false
      model = "m"
      expected_s = 3
      timeout_s = 2
      upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }]

      [[pool]]
      name = "writer"
      kind = "generate"
      expected_s = 4.5
      upstream = [{ name = "u2", address = "127.0.0.1:2", failure_domain = "a", slots = 1 }]

      [[pipeline]]
      name = "sale"
      deadline_s = 7
      deadline_max_s = 6
      stages = [{ name = "pay", pool = "payments" }, { name = "write", pool = "writer" }]

      [[pipeline]]
      name = "refund"
      key_required = false
      stages = [{ name = "pay", pool = "payments" }]

      [[pipeline]]
      name = "order"
      key_required = true
      deadline_max_s = 50
      stages = [{ name = "pay", pool = "payments" }]

      [[account]]
      name = "one"

      [[rule]]
      name = "rest"
      """
    When the document is loaded as revision 9
    Then the document has the errors
      """
      fleet.toml:4: the document has based_on = 7 in revision 9; allowed: 8
      fleet.toml:5: the document has key_memory_s = 20, below the deadline_max_s of pipeline "order"; allowed: 50 to 3600
      fleet.toml:11: pool "payments" has effect = false and idempotent = false; allowed: effect = true
      fleet.toml:12: pool "payments" has the field model with kind = "service"; allowed: only with kind = "generate"
      fleet.toml:13: pool "payments" has expected_s = 3 above its timeout_s; allowed: up to 2
      fleet.toml:17: pool "writer" lacks the field model; allowed: the model of its engines
      fleet.toml:23: pipeline "sale" lacks the field key_required, but its pool "payments" is not idempotent; allowed: true, false
      fleet.toml:25: pipeline "sale" has deadline_s = 7 above its deadline_max_s; allowed: up to 6
      fleet.toml:25: pipeline "sale" has deadline_s = 7, but its stages' expected_s add up to 7.5; allowed: at least 7.5
      """

  Scenario: An invalid field causes no second error
    Guards against errors about the value that replaces an invalid one, which
    the operator cannot find in the document.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = "a"

      [[pool]]
      name = 3
      kind = "service"
      expected_s = 8
      timeout_s = "9"
      upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }]

      [[pipeline]]
      name = "sale"
      stages = [{ name = "sell", pool = "shop" }]

      [[account]]
      name = "one"

      [[rule]]
      name = "first"
      when = 5

      [[rule]]
      name = "rest"
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:3: the document has failure_domains = "a"; allowed: a list of 1 to 64 distinct: 1 to 64 letters, digits, '.', '_' or '-'
      fleet.toml:6: pool number 1 has name = 3; allowed: 1 to 64 letters, digits, '.', '_' or '-'
      fleet.toml:9: pool number 1 has timeout_s = "9"; allowed: 0.001 to 600.0
      fleet.toml:21: rule "first" has when = 5; allowed: a table
      """

  Scenario: Text that is not TOML
    Guards against a syntax error that is reported without its line.
    Given the configuration document
      """
      site = "Pier"
      region = north
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:2: the document is not TOML: Invalid value
      """

  Scenario: Text that ends too early
    Guards against a truncated document that is taken for a complete one.
    Given the configuration document
      """
      site = "Pier"
      failure_domains = [
          "a",
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:3: the document is not TOML: Invalid value
      """

  Scenario: A document of more than 1 MB
    Guards against parsing documents of unbounded size on the event loop.
    Given a configuration document of one byte more than allowed
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:1: the document has 1000001 bytes; allowed: up to 1000000
      """

  Scenario: Bytes that are not UTF-8
    Guards against a UnicodeDecodeError in an instance.
    Given a configuration document that is not UTF-8 on line 2
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:2: the document is not UTF-8: invalid continuation byte
      """

  Scenario: Deeply nested lists
    Guards against a RecursionError from the parser in an instance.
    Given a configuration document of 5000 nested lists
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:1: the document is nested too deeply
      """

  Scenario: Arbitrary input from the configuration service
    Guards against an exception where errors have to be returned.
    Then any text and any bytes give a fleet or an error with a line
