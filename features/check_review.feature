Feature: applespring-check review
  Operators review a configuration before they send it. Guards against mistakes
  that every instance accepts, and against a change that nobody meant.

  Background:
    Given the file sound.json for applespring-check
      """
      {
        "version": 8,
        "routes": [
          {"name": "chat", "host": "huts.example", "prefix": "/chat/",
           "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1300,
           "service": "engines", "maxAttempts": 2, "resumable": true,
           "stages": [{"service": "permits", "after": [], "length": 8000}]},
          {"name": "book", "host": "huts.example", "prefix": "/book/",
           "kind": "safe", "timeoutMs": 1000, "maxAttempts": 2,
           "trafficSplit": [{"service": "bookings", "weight": 3},
                            {"service": "bookings2", "weight": 1}]}
        ],
        "services": [
          {"name": "engines", "engine": {"slots": 32}, "coldStartS": 5, "coldPerS": 2},
          {"name": "bookings"}, {"name": "bookings2"},
          {"name": "permits", "segments": {"slots": 1, "batch": 8, "callMs": 150,
            "itemMs": 4, "headroomMb": 5.5, "handleTtlS": 4}}
        ],
        "limits": {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "town", "apiKeys": ["k1"], "allowedRegions": ["west"]}]
      }
      """

  Scenario: A sound configuration has no findings
    When applespring-check runs with review sound.json
    Then applespring-check exits with 0
    And applespring-check prints lines with
      """
      sound.json: 0 findings
      """

  Scenario: Every malformed field is found, and what the others contradict
    Guards against a check that stops at the first error, and against findings
    that only follow from a malformed field.
    Given the file new.json for applespring-check
      """
      {
        "version": "8",
        "routes": [
          {"name": "chat", "host": "huts.example", "prefix": "/chat/",
           "kind": "stream", "timeoutMs": "12 s", "targetLatencyMS": 1300,
           "service": "engines"},
          {"name": "book", "host": "huts.example", "prefix": "/book/",
           "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 2000,
           "service": "bookings", "allowedRegions": "west"},
          {"host": "huts.example", "prefix": "/x/", "kind": "safe", "timeoutMs": 1000},
          7
        ],
        "services": [{"name": "engines"}, {"maxConnections": "many"}],
        "limits": {"maxBodyBytes": null},
        "tenants": [{"name": "town", "apiKeys": ["k1", 7]}]
      }
      """
    When applespring-check runs with review new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: version: is "8"; allowed: an integer above 0
      new.json: routes[0].targetLatencyMS: is not read; targetLatencyMs was meant?
      new.json: routes[0].kind: is "stream"; allowed: safe, unsafe, streaming
      new.json: routes[0].timeoutMs: is "12 s"; allowed: a number above 0
      new.json: routes[1].allowedRegions: is "west"; allowed: a list, each a text
      new.json: routes[2].name: is missing or null; allowed: a text
      new.json: routes[2].service: is missing or null; allowed: a text
      new.json: routes[3]: is 7; allowed: an object
      new.json: services[1].name: is missing or null; allowed: a text
      new.json: services[1].maxConnections: is "many"; allowed: an integer
      new.json: limits.maxBodyBytes: is missing or null; allowed: an integer
      new.json: tenants[0].apiKeys[1]: is a value; allowed: a text
      new.json: routes[1].targetLatencyMs: route "book": the target of 2 s is after the timeout of 1 s
      """

  Scenario: Numbers beyond what instances read, and names given twice
    Guards against a check that ends with an error of its own.
    Given the file new.json for applespring-check
      """
      {"version": 99999999999999999999, "version": 99999999999999999999,
       "routes": [], "services": [{"name": "p", "maxConnections": 1e400}]}
      """
    When applespring-check runs with review new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: version: is given twice in one object (of 99999999999999999999); the last value counts
      new.json: version: is 99999999999999999999; allowed: an integer above 0
      new.json: services[0].maxConnections: is Infinity; allowed: an integer
      new.json: services[0]: pool "p": no route names it
      """

  Scenario: A file that is not JSON is shown with its place
    Given the file new.json for applespring-check
      """
      {"version": 8,
       "routes": [,]}
      """
    When applespring-check runs with review new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: the configuration is not JSON: Expecting value: line 2 column 13 (char 27)
      """

  Scenario: Entries that never match are found
    Guards against routes, pools, keys and targets that operators take for
    being in use.
    Given the file new.json for applespring-check
      """
      {
        "version": 8,
        "routes": [
          {"name": "a", "host": "huts.example", "prefix": "/a/", "kind": "safe",
           "timeoutMs": 1000, "maxAttempts": 1, "service": "gone"},
          {"name": "b", "host": "HUTS.example", "prefix": "/a/", "kind": "safe",
           "timeoutMs": 1000, "trafficSplit": [
             {"service": "p", "weight": 1}, {"service": "q", "weight": 0}]},
          {"name": "b", "host": "huts.example:80", "prefix": "/b", "kind": "safe",
           "timeoutMs": 1000, "service": "p"}
        ],
        "services": [{"name": "p"}, {"name": "q"}, {"name": "idle"}, {"name": "p"}],
        "tenants": [
          {"name": "town", "apiKeys": ["k1", "k2"]},
          {"name": "mole", "apiKeys": ["k3", "k1"]},
          {"name": "none", "apiKeys": []}
        ]
      }
      """
    When applespring-check runs with review new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: routes[0].service: route "a": pool "gone" does not exist
      new.json: routes[2].prefix: route "b": prefix "/b" lacks a slash at an end
      new.json: routes[1].prefix: 2 routes serve huts.example/a/; the first one is used
      new.json: routes[1].trafficSplit[1].weight: route "b": pool "q" gets no requests: weight 0; allowed: above 0
      new.json: routes[2].host: route "b": never matches: host "huts.example:80"; allowed: a host name without port or path
      new.json: routes[2].name: route "b": the name is that of route number 2
      new.json: services[3].name: pool "p": the name is that of pool number 1
      new.json: services[2]: pool "idle": no route names it
      new.json: tenants[1].apiKeys[1]: account "mole": key 2 is also a key of account "town"; the last one gets its requests
      new.json: tenants[2].apiKeys: account "none": has no keys
      """

  Scenario: Limits that contradict each other are found
    Given the file new.json for applespring-check
      """
      {
        "version": 8,
        "routes": [
          {"name": "pay", "host": "h", "prefix": "/pay/", "kind": "unsafe",
           "timeoutMs": 1000, "targetLatencyMs": 1500, "maxAttempts": 3,
           "resumable": true, "service": "p"},
          {"name": "chat", "host": "h", "prefix": "/chat/", "kind": "streaming",
           "timeoutMs": 9000, "targetLatencyMs": 400, "resumable": true,
           "targetGapMs": 9500, "maxAttempts": 1, "priority": 12, "service": "p",
           "stages": [{"service": "s", "after": [], "length": 6000000},
                      {"service": "s", "after": [2], "length": 10}]}
        ],
        "services": [
          {"name": "p", "coldPerS": 3, "maxConnections": 0},
          {"name": "s", "segments": {"slots": 0, "batch": 8, "callMs": 150,
            "itemMs": 40, "headroomMb": 5.5, "handleTtlS": 4}}
        ],
        "limits": {"headerTimeoutMs": 30000, "idleTimeoutMs": 15000, "maxBodyBytes": 0}
      }
      """
    When applespring-check runs with review new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: routes[0].targetLatencyMs: route "pay": the target of 1.5 s is after the timeout of 1 s
      new.json: routes[1].stages[0].length: route "chat": stage 0: a result of 6e+06 bytes exceeds the memory of "s" (5.5e+06 bytes)
      new.json: routes[1].stages[1].after: route "chat": stage 1: follows stage 2, which is not earlier
      new.json: routes[0].resumable: route "pay": resumable takes no effect with kind unsafe
      new.json: routes[1].maxAttempts: route "chat": is resumable, but never resumed with at most 1 upstream
      new.json: routes[1].targetGapMs: route "chat": the gap of 9.5 s exceeds the timeout of 9 s
      new.json: routes[1].priority: route "chat": priority 12; allowed: 0 to 9
      new.json: services[0].maxConnections: pool "p": 0 connections; allowed: 1 or more
      new.json: services[0].coldPerS: pool "p": a cold rate of 3 a second without a cold start
      new.json: services[1].segments.slots: pool "s": slots 0; allowed: 1 or more
      new.json: services[1].segments.callMs: pool "s": a call of 8 pieces takes 0.47 s, longer than the target of every route that uses it (0.4 s at most)
      new.json: limits.headerTimeoutMs: the time for a head of 30 s exceeds the idle time-out of 15 s
      new.json: limits.maxBodyBytes: body_bytes 0; allowed: 1 or more
      """

  Scenario: Homes are checked with the regions in the settings
    Given the file new.json for applespring-check
      """
      {"version": 8,
       "routes": [{"name": "a", "host": "h", "prefix": "/", "kind": "unsafe",
         "timeoutMs": 1000, "maxAttempts": 2, "service": "p", "allowedRegions": ["north"]}],
       "services": [{"name": "p"}],
       "tenants": [{"name": "town", "apiKeys": ["k"], "allowedRegions": ["west"]}]}
      """
    And the file node.conf for applespring-check
      """
      zone=koper
      region=west
      zones.ulm=east
      """
    When applespring-check runs with review --settings node.conf new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: routes[0].maxAttempts: route "a": at most 2 upstreams, but its requests may be neither repeated nor resumed
      new.json: routes[0].allowedRegions: route "a": refuses all requests of "town": its homes north are none of theirs
      new.json: routes[0].allowedRegions: route "a": no failure domain is in its homes north; the settings name east, west
      """

  Scenario: Differences from the version in force
    Guards against a change that is sent by mistake, and keys that are printed.
    Given the file new.json for applespring-check
      """
      {
        "version": 8,
        "routes": [
          {"name": "chat", "host": "huts.example", "prefix": "/chat/",
           "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1500,
           "service": "engines", "maxAttempts": 2, "resumable": true,
           "stages": [{"service": "permits", "after": [], "length": 9000}]}
        ],
        "services": [
          {"name": "engines", "engine": {"slots": 32}, "coldStartS": 5, "coldPerS": 2},
          {"name": "permits", "maxConnections": 9, "segments": {"slots": 1, "batch": 8,
            "callMs": 150, "itemMs": 4, "headroomMb": 5.5, "handleTtlS": 4}}
        ],
        "limits": {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "town", "apiKeys": ["k2", "k3"]},
                    {"name": "mole", "apiKeys": ["k4"]}]
      }
      """
    When applespring-check runs with review --in-force sound.json new.json
    Then applespring-check exits with 1
    And its errors are
      """
      new.json: version: version = 8; allowed: above 8, that of sound.json
      """
    And applespring-check prints
      """
      new.json: routes["chat"].targetLatencyMs: changed from 1300 to 1500
      new.json: routes["chat"].stages: changed from [{"service": "permits", "after": [], "length": 8000}] to [{"service": "permits", "after": [], "length": 9000}]
      sound.json: routes["book"]: removed: was {"name": "book", "host": "huts.example", "prefix": "/book...
      new.json: services["permits"].maxConnections: added: 9
      sound.json: services["bookings"]: removed: was {"name": "bookings"}
      sound.json: services["bookings2"]: removed: was {"name": "bookings2"}
      new.json: tenants["town"].apiKeys: changed: 2 added, 1 removed
      sound.json: tenants["town"].allowedRegions: removed: was ["west"]
      new.json: tenants["mole"]: added: {"name": "mole", "apiKeys": "1 values"}
      new.json: 1 findings, 9 differences from sound.json
      """

  Scenario: A document of the product is reviewed with the lines of its findings
    Guards against a review that leaves out the errors of `check`, or mistakes
    that are no errors.
    Given the file new.toml for applespring-check
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a", "b"]
      based_on = 3

      [[pool]]
      name = "bookings"
      kind = "service"
      timeout_s = 90

      [[pool.upstream]]
      name = "b-1"
      address = "10.0.0.1:80"
      failure_domain = "a"
      slots = 0

      [[pool]]
      name = "spare"
      kind = "service"

      [[pool.upstream]]
      name = "s-1"
      address = "10.0.0.2:80"
      failure_domain = "a"
      slots = 4

      [[pipeline]]
      name = "book"
      stages = [{ name = "book", pool = "bookings" }]

      [[account]]
      name = "web"
      home = "b"

      [[rule]]
      name = "long"
      when = { deadline_above_s = 100 }

      [[rule]]
      name = "busy"
      when = { pool_busy_above = { pool = "bookings", fraction = 1.0 } }

      [[rule]]
      name = "all"

      [[rule]]
      name = "web"
      when = { account = "web" }
      """
    And the file old.toml for applespring-check
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a", "b"]
      based_on = 3

      [[pipeline]]
      name = "book"
      deadline_s = 4

      [[rule]]
      name = "all"

      [[rule]]
      name = "long"
      when = { deadline_above_s = 90 }
      """
    When applespring-check runs with review --in-force old.toml new.toml
    Then applespring-check exits with 1
    And its errors are
      """
      new.toml:9: pool "bookings" has timeout_s = 90, which no call reaches: the deadline_max_s of its pipelines is 60
      new.toml:15: upstream "b-1" has slots = 0; allowed: 1 to 10000
      new.toml:18: pool "spare" gets no requests: no stage and no rule names it
      new.toml:33: account "web" has home = "b", where no upstream is
      new.toml:37: rule "long" never holds: deadline_above_s = 100; the deadline_max_s of its pipelines is 60
      new.toml:41: rule "busy" never holds: pool_busy_above has fraction = 1.0; allowed: below 1
      new.toml:46: rule "web" is never reached: rule "all" on line 43 always holds when it does
      new.toml:4: the document: based_on = 3; allowed: above 3, that of old.toml
      """
    And applespring-check prints lines with
      """
      new.toml:6: pool: added:
      old.toml:8: pipeline["book"].deadline_s: removed: was 4
      new.toml:29: pipeline["book"].stages: added:
      new.toml:37: rule["long"].when.deadline_above_s: changed from 90 to 100
      new.toml:35: rule: order changed from ["all", "long"] to ["long", "all"]
      """

  Scenario Outline: Options that do not fit the document are wrong usage
    Guards against an option that is ignored.
    Given the file old.toml for applespring-check
      """
      site = "Pier"
      """
    When applespring-check runs with review <arguments>
    Then applespring-check exits with 2

    Examples:
      | arguments                       |
      | --revision 3 sound.json         |
      | --settings sound.json old.toml  |
      | --in-force missing.json sound.json |
      | missing.json                    |
