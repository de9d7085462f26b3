Feature: Adapter to the platform
  Guards against callers that set headers reserved to the system, entries of
  other writers that are taken for upstreams, and documents that are decoded in
  part.

  Scenario: A document is decoded
    Guards against fields that are decoded into other units or other fields.
    Given the platform's configuration of version 7
    Then the document has version 7
    And the route of pule25.example/puxa400/2f is r-1, streaming, 12 s, target 1.3 s
    And its stages are kafi81c of 3000000 bytes
    And pool kafi81c has 4 pieces a call, 150 ms a call, 28 MB
    And the client account of key k1 is bozi300 with priority 1
    And the limits are 16384, 4194304, 3 s, 15 s

  Scenario Outline: The longest matching prefix of a host decides the route
    Guards against requests that go to the pool of another route.
    Given the platform's configuration of version 7
    Then the route of <url> is <route>

    Examples:
      | url                              | route |
      | pule25.example/puxa400/x         | r-1   |
      | pule25.example:8080/puxa400/x    | r-1   |
      | pule25.example/puxa400/deep/x    | r-2   |
      | pule25.example/puxa400           | none  |
      | other.example/puxa400/x          | none  |

  Scenario Outline: A malformed document is rejected as a whole
    Given the configuration <text>
    Then it is refused with "malformed"

    Examples:
      | text                                                   |
      | nonsense                                               |
      | []                                                     |
      | {"version": 1}                                         |
      | {"version": 1, "routes": [{"name": 1}], "services": []} |
      | {"version": 1, "routes": [], "services": [], "tenants": [{"name": "a", "apiKeys": ["k"], "allowedRegions": "north"}]} |
      | {"version": 1, "routes": [], "services": [], "tenants": [{"name": "a", "apiKeys": "k"}]} |
      | {"version": 1, "routes": [], "services": [], "tenants": [{"name": "a", "apiKeys": ["k", 7]}]} |

  Scenario Outline: A malformed entry names no upstream
    Given the registry entry <text>
    Then it names no upstream

    Examples:
      | text                                                                   |
      | nonsense                                                               |
      | 7                                                                      |
      | {"service": "a", "address": "1.2.3.4:5"}                               |
      | {"service": "a", "address": "1.2.3.4:5", "state": "resting"}           |
      | {"service": "a", "address": "1.2.3.4", "state": "ready"}               |
      | {"service": "a", "address": 7, "state": "ready"}                       |
      | {"service": 7, "address": "1.2.3.4:5", "state": "ready"}               |
      | {"service": "a", "address": "1.2.3.4:5", "state": "ready", "born": "x"} |
      | {"service": "a", "address": "1.2.3.4:99999", "state": "ready"}         |

  Scenario Outline: An entry with one unusable field names no upstream
    Guards against entries of other writers that end processes: "::1:8080" is no
    address that can be called, and no message between instances takes a
    negative number of slots.
    Given a sound registry entry but for <field>: <value>
    Then it names no upstream

    Examples:
      | field    | value               |
      | address  | "::1:8080"          |
      | address  | "[::1]:8080"        |
      | address  | "worker-1:8080"     |
      | address  | "1.2.3.4.5:80"      |
      | address  | "1.2.3:80"          |
      | address  | "1.2.3.04:80"       |
      | address  | " 1.2.3.4:80"       |
      | address  | "u@1.2.3.4:80"      |
      | address  | "1.2.3.4:+80"       |
      | address  | "1.2.3.4:8_0"       |
      | address  | "1.2.3.4:٨٠"        |
      | address  | "1.2.3.4:0"         |
      | address  | "1.2.3.4:65536"     |
      | address  | ["1.2.3.4:80"]      |
      | service  | ""                  |
      | service  | null                |
      | state    | ["ready"]           |
      | zone     | missing             |
      | zone     | 3                   |
      | slots    | missing             |
      | slots    | true                |
      | slots    | -1                  |
      | slots    | 1.5                 |
      | slots    | 4294967296          |
      | born     | false               |
      | born     | -1                  |
      | born     | 1e30                |
      | sequence | "4"                 |
      | sequence | -4                  |

  Scenario Outline: An entry whose key is no name of an upstream names none
    Guards against a name that can't be sent in a header.
    Given a sound registry entry under the key <key>
    Then it names no upstream

    Examples:
      | key              |
      | "servers/"       |
      | "servers/a b"    |
      | "servers/a\nB: c" |
      | "servers/é"      |

  Scenario: Whatever entry is accepted can be called and passed on to peers
    Guards against a field that is checked less strictly than its use needs.
    Then an upstream of any of 1000 generated entries can be called and is read by a peer as it was sent

  Scenario: A registry entry is decoded
    Guards against a draining worker that gets new work, and a restarted worker
    that is taken for the one before.
    Given the registry entry {"service": "a", "address": "1.2.3.4:5", "zone": "z", "slots": 6, "state": "draining", "born": 12}
    Then it names an upstream of pool a at 1.2.3.4:5 in z that is leaving, born 12

  Scenario Outline: Headers that only the system may set are not forwarded
    Guards against callers that forge an account, a priority or inputs.
    Given a caller's request with the header <name>: forged
    Then <name> does not reach an upstream

    Examples:
      | name             |
      | Tenant           |
      | tenant           |
      | Inputs           |
      | Hold             |
      | Pin-Ms           |
      | Kv-Backup        |
      | Kv-From          |
      | Kv-Fetch         |
      | Target-Instance  |
      | Request-Priority |
      | X-Api-Key        |
      | Connection       |
      | Transfer-Encoding |
      | Keep-Alive       |

  Scenario: An upstream gets the caller's headers and those of the system
    Given a caller's request with the header X-Note: seen
    Then an upstream gets X-Note: seen
    And an upstream gets Request-Deadline: 1500
    And an upstream gets Target-Instance: i-1
    And an upstream gets Tenant: bozi300
    And an upstream gets Inputs: 1.2.3.4:5/a,1.2.3.4:5/b
    And an upstream gets Kv-Fetch: 1.2.3.4:6

  Scenario: A resumed stream names the last event that was forwarded
    Guards against events sent again or left out because the caller's older
    Last-Event-Id is sent on.
    Given a caller's request with the header Last-Event-Id: 3
    Then the upstream that resumes after 9 gets Last-Event-Id 9 once

  Scenario: The parts of a prompt are decoded
    Given a caller's request with the header Prompt-Prefix: 5c1e:800,91bd:410
    Then its parts are 5c1e of 800 and 91bd of 410 tokens

  Scenario Outline: A request with a malformed number in a header is refused
    Given a caller's request with the header <name>: <value>
    Then the request is refused as malformed

    Examples:
      | name             | value |
      | Request-Deadline | soon  |
      | Token-Count      | a,b   |
      | Segments         | 1,x   |
      | Prompt-Prefix    | a     |

  Scenario Outline: An answer states whether the request ran
    Guards against a second run after an error that does not exclude the first.
    Given an answer of status <status> with the header <header>
    Then it states that the request <run>

    Examples:
      | status | header           | run         |
      | 503    | Not-Executed: 1  | did not run |
      | 421    | X: 1             | did not run |
      | 503    | X: 1             | may have run |
      | 500    | X: 1             | may have run |

  Scenario: The answer of a stage call has one item for each piece
    Guards against results that are assigned to the wrong pieces.
    Given a stage call with 2 pieces
    Then the answer {"items": [{"handle": "h"}, {"reason": "room"}]} gives h and room
    And the answer {"items": [{"handle": "h"}, {"reason": "surprise"}]} gives h and error
    And the answer {"items": [{"handle": "h"}]} is refused
    And the answer {} is refused

  Scenario: The settings file is decoded and unknown lines are ignored
    Given the platform's settings
    Then the instance is called edge-1 in koper-hall
    And its seeds are 10.1.0.41:7740,10.2.0.25:7740
    And its drain limit is 8 s

  Scenario Outline: The error about a malformed setting names it
    Given the platform's settings with <name>=<value>
    Then they are refused naming <name>

    Examples:
      | name          | value |
      | node          |       |
      | internalPorts | x     |
      | bounds.graceS | soon  |

  Scenario: SIGHUP does not end a process that is still starting
    Found by the soak, seed 614 with 25 faults in 20 s. By default SIGHUP ends a
    process, here before the program had installed its handler.
    Then the launcher ignores SIGHUP before it imports the program

  Scenario: The document and the revision to watch from are read in one call
    Guards against a change that is missed between a read and a watch.
    Given a store at revision 12 with a configuration of version 7 and an item of another writer
    When the document is read from the store
    Then it has version 7, the watch starts at 12, and 1 call was made

  Scenario: A store that answers each read late is read all the same
    Guards against an instance that refuses every caller as not ready for as
    long as the store is slow. Each read of it failed at the same time-out.
    Given a store that answers each of the 3 pages of a read after 1.2 s
    When the store is read, again after each failure, at most 4 times
    Then the store's document has version 7

  Scenario: Reads of a store that answers at once again time out early
    Guards against connections that stopped answering for good and are noticed
    late, because the store was slow once.
    Given a store that answers each of the 3 pages of a read after 1.2 s
    When the store is read, again after each failure, at most 4 times
    And it answers at once in one read, and not at all in the next one
    Then that read has failed after 1 s
