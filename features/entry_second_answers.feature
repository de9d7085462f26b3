Feature: Second answers to requests of the JSON interface
  Guards against an answer that is taken for the answer to a later request on
  the same connection (inc-second-answer). An upstream that repeats shows in each
  answer to which sending it belongs; one that does not is of an older version.

  Scenario Outline: A call follows one that is answered twice
    Guards against a connection on which each further call gets the answer to
    the call before it, and against a refusal that belongs to no call and says
    not run for one that runs.
    Given an upstream that <repeats> and answers <answers>
    When 4 calls are made on the JSON interface
    Then their outcomes are <outcomes>
    And every call with the outcome not_run was refused

    Examples:
      | repeats         | answers             | outcomes                             |
      | repeats         | 200 twice, 200      | ran, mismatch may_have_run, ran, ran |
      | repeats         | 200 at once, 200    | ran, mismatch may_have_run, ran, ran |
      | repeats         | 200 then 503, 200   | ran, mismatch may_have_run, ran, ran |
      | does not repeat | 200 twice, 200      | ran, ran, ran, ran                   |
      | does not repeat | 200 at once, 200    | ran, ran, ran, ran                   |
      | does not repeat | 200 then 503, 200   | ran, ran, ran, ran                   |

  Scenario Outline: A refusal shows that its call has not run
    Guards against a lost promise: the caller of such a call may repeat it.
    Given an upstream that <repeats> and answers <answers>
    When 4 calls are made on the JSON interface
    Then their outcomes are <outcomes>

    Examples:
      | repeats         | answers             | outcomes                             |
      | repeats         | 200, 503, 200       | ran, refused not_run, ran, ran       |
      | does not repeat | 200, 503, 200       | ran, refused not_run, ran, ran       |
      | repeats         | bare 503, 200       | refused not_run, ran, ran, ran       |
      | repeats         | 200, bare 503, 200  | ran, mismatch may_have_run, ran, ran |

  Scenario Outline: Connections are used again
    Guards against a new connection for each call to an upstream that repeats.
    Given an upstream that <repeats> and answers 200
    When 4 calls are made on the JSON interface
    Then their outcomes are ran, ran, ran, ran
    And <connections> connections were opened

    Examples:
      | repeats         | connections |
      | repeats         | 1           |
      | does not repeat | 4           |

  Scenario Outline: A load report is answered twice
    Guards against an earlier report that is taken for evidence that an upstream
    still serves.
    Given an upstream that <repeats> and answers 200 twice, 200
    When its load is read, and twice more after it has begun to leave
    Then it was read as <states>

    Examples:
      | repeats         | states                    |
      | repeats         | serving, nothing, leaving |
      | does not repeat | serving, leaving, leaving |

  Scenario Outline: An order follows a load report that is answered twice
    Guards against an order that counts as obeyed and was rejected.
    Given an upstream that <repeats> and answers 200 twice, 409
    When its load is read and it gets an order
    Then the order was answered with <answer>

    Examples:
      | repeats         | answer  |
      | repeats         | nothing |
      | does not repeat | 409     |

  Scenario Outline: The platform answers a configuration watch twice
    Guards against an instance list that counts as confirmed by an answer that
    was not about it.
    Given an upstream that <repeats> and answers 304 twice, 200
    When it is asked as the platform for the configuration and for the list
    Then the list was answered with <answer>

    Examples:
      | repeats         | answer     |
      | repeats         | nothing    |
      | does not repeat | revision 9 |

  Scenario Outline: Each client of an instance matches answers to requests
    Guards against a client whose connections are used again although an answer
    on them did not show to which request it belongs.
    Given a server on a socket that <repeats>
    When 3 requests are sent with the <client> client of an instance
    Then <connections> connections were accepted

    Examples:
      | repeats         | client   | connections |
      | repeats         | pooled   | 1           |
      | repeats         | control  | 1           |
      | repeats         | platform | 1           |
      | repeats         | single   | 3           |
      | does not repeat | pooled   | 3           |
      | does not repeat | control  | 3           |
      | does not repeat | platform | 3           |
      | does not repeat | single   | 3           |

  Scenario Outline: A request waits for the connection of another one
    Guards against a connection that goes to a request which waits for it, though
    the answer on it did not show to which request it belongs.
    Given a server on a socket that <repeats>
    When 3 requests are sent at once over at most 1 connection
    Then <connections> connections were accepted

    Examples:
      | repeats         | connections |
      | repeats         | 1           |
      | does not repeat | 3           |
