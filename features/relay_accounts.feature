Feature: Keys of client accounts
  Guards against requests that run with any key, or with none, once the last key
  is taken away (inc-last-key). A document with accounts asks for a key, however
  many keys they hold.

  Scenario Outline: No account holds a key
    Given relay instances one with 1 stage upstreams and an engine
    And a document with the accounts <accounts>
    When callers with the keys k1, k2 and none send requests of every kind
    Then every one is refused with 401 and reaches no upstream

    Examples:
      | accounts                                                         |
      | [{"name": "town", "apiKeys": []}]                                |
      | [{"name": "town", "apiKeys": []}, {"name": "hall", "apiKeys": []}] |
      | []                                                               |
      | [{"name": "town", "apiKeys": [""]}]                              |

  Scenario: The last key is taken away and given back
    Given relay instances one, two with 1 stage upstreams and an engine
    And a document with the accounts [{"name": "town", "apiKeys": ["k1"]}]
    When the accounts become [{"name": "town", "apiKeys": []}] and then [{"name": "town", "apiKeys": ["k3"]}]
    Then callers with the keys k1, k2, k3 and none got these answers
      | accounts | k1  | k2  | k3  | none |
      | first    | 200 | 401 | 401 | 401  |
      | second   | 401 | 401 | 401 | 401  |
      | third    | 401 | 401 | 200 | 401  |

  Scenario: A public route needs no key, also if no account holds one
    Given relay instances one with 1 stage upstreams and an engine
    And a document with public routes and the accounts [{"name": "town", "apiKeys": []}]
    When callers with the keys k1, k2 and none send requests of every kind
    Then every one is answered with 200 and reaches an upstream without an account

  Scenario: A document without accounts needs no key
    Guards against refusals where the operator has no accounts.
    Given relay instances one with 1 stage upstreams and an engine
    And a document with the accounts null
    When callers with the keys k1, k2 and none send requests of every kind
    Then every one is answered with 200 and reaches an upstream without an account
