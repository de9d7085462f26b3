Feature: Documents with values of other types
  Guards against a document that ends the processes of all instances, or has
  requests answered with 500, since a field was used that nothing had checked
  (inc-foreign-entry).

  Scenario: Whatever value a field of a document has, instances serve on
    Then for each field of a document and each other value the document is rejected or served without an error

  Scenario Outline: A rejected document is named with its place, value and bound
    Guards against a rejection that does not say what to mend, and one that shows
    a key.
    Given the configuration with <field> set to <value>
    Then it is refused with "<fault>"

    Examples:
      | field                           | value | fault                                                                        |
      | services[1].segments.handleTtlS | "x"   | services[1].segments.handleTtlS is "x"; allowed: a number above 0            |
      | services[1].segments.slots      | 1e308 | services[1].segments.slots is 1e+308; allowed: an integer                    |
      | routes[0].prefix                | []    | routes[0].prefix is []; allowed: a text                                      |
      | routes[0].stages[0].length      | null  | routes[0].stages[0].length is missing or null; allowed: a number, 0 or above |
      | tenants[0].apiKeys              | "k1"  | tenants[0].apiKeys is a value; allowed: a list, each a text                  |
      | tenants[0].apiKeys[0]           | 77    | tenants[0].apiKeys[0] is a value; allowed: a text                            |

  Scenario Outline: Fields that instances do not decode, or ignore one by one
    Guards against the rejection of a document that instances could use.
    Given the configuration with <field> set to <value>
    Then the document is accepted

    Examples:
      | field                      | value |
      | services[0].healthPath     | ""    |
      | services[1].segments.queue | "x"   |
      | services[0].coldStartS     | "x"   |
      | routes[0].newField         | {}    |
      | limits                     | null  |
      | tenants                    | null  |
