@alone
Feature: Clients of a relay that keep to no limit
  Guards against a process that ends for lack of memory or descriptors, or
  answers nobody else, whatever its clients send. The limits are those of the
  smallest machines on the users' pages. 200 descriptors are not for sockets.

  Scenario Outline: The memory of the process holds
    Guards against bodies, heads, chunks and answers that fill the memory.
    Given a relay process with 160 MB and 1638 descriptors
    When <count> clients <act>
    Then the process lives
    And it has used less than 160 MB
    And an ordinary request was answered meanwhile
    And the sockets of the clients that left are closed

    Examples:
      | count | act                                            |
      | 60    | stop short of the end of a body of 4 MiB       |
      | 60    | stop short of the end of 4 MiB in chunks       |
      | 60    | send whole bodies of 4 MiB                     |
      | 60    | announce and send 64 MiB                       |
      | 60    | send 64 MiB in chunks                          |
      | 20    | send chunks of 2 bytes and stop short          |
      | 60    | send trailers without end                      |
      | 200   | send 16 KiB of tiny headers                    |
      | 300   | send requests behind one that is held          |
      | 60    | go on sending after a refusal                  |
      | 60    | read no answers of 4 MiB                       |
      | 10    | upgrade to HTTP/2 and stop short in 20 streams |

  Scenario: Log lines that nobody reads
    Guards against lines that keep what clients send in memory.
    Given a relay process with 160 MB and 1638 descriptors
    And nothing reads its log
    When 60 clients send long request ids
    Then the process lives
    And it has used less than 160 MB
    And an ordinary request was answered meanwhile

  Scenario Outline: The descriptors of the process hold
    Guards against connections that leave no descriptor for other clients and
    for upstreams.
    Given a relay process with 160 MB and 400 descriptors
    When 300 clients <act> at the port for "<port>"
    Then the process lives
    And it has had at most 200 sockets open
    And an ordinary request was answered meanwhile
    And the process answered probes of its readiness meanwhile

    Examples:
      | act                      | port      |
      | connect and send nothing | callers   |
      | stop within their heads  | callers   |
      | send heads without end   | callers   |
      | connect and send nothing | readiness |
      | connect and send nothing | metrics   |
      | connect and send nothing | peers     |

  Scenario Outline: A crowd that comes back at once
    Guards against clients that take each place that is given up, so that an
    ordinary caller is turned away again and again.
    Given a relay process with 160 MB and 400 descriptors
    When a crowd of 300 comes back at once to <act>
    Then the process lives
    And it has used less than 160 MB
    And it has had at most 200 sockets open
    And an ordinary request was answered meanwhile
    And it was turned away at most once

    Examples:
      | act                                      |
      | connect and send nothing                 |
      | stop within their heads                  |
      | stop short of the end of a body of 2 KiB |
      | stop short of the end of a body of 4 MiB |
      | go on sending after a refusal            |

  Scenario: Messages of other instances that stop short
    Guards against messages at the port for peers that fill the memory.
    Given a relay process with 160 MB and 1638 descriptors
    When 60 clients announce messages of 2 MB and stop short at the port for "peers"
    Then the process lives
    And it has used less than 160 MB
    And an ordinary request was answered meanwhile

  Scenario: Connections that arrive at the same moment
    Guards against connections that are all accepted before any can yield.
    Given a relay process with 160 MB and 400 descriptors
    When the process is paused while 300 clients connect
    Then the process lives
    And it has had at most 200 sockets open
    And an ordinary request was answered meanwhile

  Scenario: A request within the limits is served in calm
    Guards against a bound that a single client within the limits meets.
    Given a relay process with 160 MB and 1638 descriptors
    When a client in calm sends a whole body of 4194304 bytes
    Then it is answered

  Scenario Outline: A refusal while the body still comes
    Guards against clients that read when they have sent all of a body, and get
    a reset connection in place of their answer, or one that seems to stay open.
    Given a relay process with 160 MB and 1638 descriptors
    When a client sends 4000000 bytes to "<path>" before it reads
    Then the first answer has the status <status>
    And the answer says that its connection is closed

    Examples:
      | path          | status |
      | /unknown/path | 404    |
      | /p/key/a      | 401    |

  Scenario: No body is asked for that will be refused
    Guards against a client that waits for "100 Continue" and is told to send
    what is over the limit.
    Given a relay process with 160 MB and 1638 descriptors
    When a client sends "Content-Length: 67108864" with "Expect: 100-continue"
    Then the first answer has the status 413

  Scenario: A body that will be read is asked for
    Guards against a client that waits for "100 Continue" until it gives up.
    Given a relay process with 160 MB and 1638 descriptors
    When a client sends "Content-Length: 1000" with "Expect: 100-continue"
    Then the first answer has the status 100
    And the last answer has the status 200

  Scenario Outline: An offer to upgrade is ignored
    Guards against a request within the limits that gets no answer of its
    upstream, since the server goes on with another protocol.
    Given a relay process with 160 MB and 1638 descriptors
    When a client offers to upgrade to "<protocol>"
    Then it is answered

    Examples:
      | protocol  |
      | h2c       |
      | websocket |
