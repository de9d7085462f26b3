Feature: Requests through a fleet of entry instances
  The entry instances run their production code in virtual time. Stand-ins
  replace the platform and the upstreams.

  Scenario: A request gets the complete answer of its own chain
    Guards against a result that is lost or returned to another request.
    When 60 requests with different inputs pass the "obalne" fleet at once
    Then each answer is the expected output of its input

  Scenario: A streamed answer ends with its end marker
    Guards against a truncated stream that looks complete.
    When a streamed request passes the "obalne" fleet
    Then its tokens are numbered without a gap and an end event follows
    And the digest of the end event is the digest of the joined tokens

  Scenario Outline: A malformed submission is refused before any call
    Guards against calls to upstreams for a request that cannot be served, and
    against a refusal that does not name the error.
    When a submission with <error> reaches the "obalne" fleet
    Then it is refused with status <status> and a detail that names "<name>"
    And no upstream was called

    Examples:
      | error              | status | name                    |
      | an unknown account | 403    | nobody                  |
      | no such pipeline   | 404    | lost                    |
      | a deadline of zero | 400    | applespring-deadline-ms |
      | an unknown field   | 400    | colour                  |
      | no input           | 400    | input                   |
      | no JSON            | 400    | JSON                    |
      | a missing key      | 400    | idempotency-key         |

  Scenario: Every upstream stays usable while the platform is healthy
    Guards against evidence of an upstream that expires between two reads of
    the instance list.
    When the "obalne" fleet runs idle for 20 seconds
    Then every upstream was usable at every instance

  Scenario: A resubmitted payment runs once wherever it arrives
    Guards against a second execution of a keyed request by another entry
    instance.
    When a payment with an issued key reaches every "obalne" instance at once
    Then every submission gets the same answer
    And each stage of the payment was executed once

  Scenario: A caller that disconnects frees the engine
    Guards against generation for a caller that has disconnected.
    When a streaming caller of the "obalne" fleet disconnects after 3 tokens
    Then no engine is running a call one second later

  Scenario: An instance resumes after a pause and reads the instance list first
    Guards against refusals with no_upstream after a pause, when all evidence
    of upstreams is older than the pause and has expired.
    When an instance of the "obalne" fleet resumes after 6 seconds with requests
    Then every request sent to it was answered completely

  Scenario: A pool without upstreams refuses requests with Retry-After
    Guards against a refusal that does not say when the caller can retry.
    When every payment upstream of the "obalne" fleet leaves before a payment
    Then the payment is refused as "no_upstream" with a Retry-After
    And no upstream was called

  Scenario: An instance explains which rule decides
    Guards against rules whose effect in a running fleet cannot be inspected.
    When the rules of the "obalne" fleet are explained for a payment
    Then the explanation names "payments-first" as the rule that decides
    And a query with an unknown pipeline is refused with its name

  Scenario: A restarted instance is listed as live again
    Guards against a leaving notice that is applied to a later incarnation than
    the one it names.
    When an instance of the "obalne" fleet drains and starts again
    Then its peers list it as live within 5 seconds

  Scenario: A leaving notice expires although peers repeat it
    Guards against an upstream that stays unused after it serves again, because
    instances renew its notice from each other's gossip.
    When an upstream of the "obalne" fleet leaves for 10 seconds and serves again
    Then every instance uses it again within 60 seconds

  Scenario: A drain interrupts no accepted request
    Guards against a shutdown that breaks requests in flight.
    When an instance of the "obalne" fleet drains under load
    Then every request that it had accepted was answered completely
