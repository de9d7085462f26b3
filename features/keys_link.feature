Feature: Messages between entry instances
  Guards against a forwarded request that may have run but is reported as not
  sent, and against a peer whose messages stop or exhaust an instance.

  Scenario Outline: Requests share one connection and replies find their request
    Given two linked instances on "<backend>"
    Then 20 concurrent requests get their own replies over one connection
    And a heartbeat arrives and is recorded

    Examples:
      | backend |
      | asyncio |
      | trio    |

  Scenario Outline: A failed request says whether it may have arrived
    Given two linked instances on "<backend>"
    Then a request to a closed port is reported as not sent
    And a request without a reply is reported as possibly received
    And a request to an instance that stops is reported as possibly received
    And a request to an address without a port is reported as not sent
    And a request whose handler fails is reported as possibly received, and others are answered

    Examples:
      | backend |
      | asyncio |
      | trio    |

  Scenario Outline: A slow reply does not fail other requests
    Guards against a scheduler that is taken for lost, with all pieces queued
    there, because of one reply that came late. At kwagga-groove-grown, on
    machines with an eighth of a core, 5,400 submissions failed in this way
    within a minute.
    Given two linked instances on "<backend>" that close unresponsive connections
    Then a request that waits is answered although another one timed out
    And the connection is closed if nothing at all arrives

    Examples:
      | backend |
      | asyncio |
      | trio    |

  Scenario Outline: A late or second reply is not taken for another one
    Guards against a reply to an earlier request that is taken for that to a
    later one: a refused key would count as accepted.
    Given two linked instances on "<backend>"
    Then each request gets its own reply of a peer that replies late and twice

    Examples:
      | backend |
      | asyncio |
      | trio    |

  Scenario Outline: Malformed frames close only their connection
    Given two linked instances on "<backend>"
    Then a frame length of 4 GB and random bytes each close the connection
    And 20 concurrent requests get their own replies over one connection

    Examples:
      | backend |
      | asyncio |
      | trio    |

  Scenario: Messages are decoded as encoded, and malformed ones are refused
    Then every message type is decoded as it was encoded
    And 400 damaged messages raise no other error than MessageError
    And a message over the size bound is neither encoded nor decoded

  Scenario: A heartbeat with long names still fits a datagram
    Guards against a lost lease because heartbeats cannot be sent.
    Then a heartbeat with 16 pools of 200 characters is sent without some pools

  Scenario: The number of receivers of a message does not grow with the fleet
    Then heartbeats of 350 instances go to at most 7 peers, updates to 3
    And an update is forwarded upon its first receipt only
