Feature: applespring-check
  Operators check, explain and format a document before they publish it.

  Scenario: Every error of every file is printed
    Guards against a check that stops at the first error or the first file, or
    that exits with 0 although a document has errors.
    Given the file fleet.toml for applespring-check
      """
      region = "north"
      failure_domains = ["a"]
      """
    And the file empty.toml for applespring-check
      """
      """
    When applespring-check runs with check empty.toml fleet.toml examples/obalne.toml
    Then applespring-check exits with 1
    And applespring-check prints errors with
      """
      empty.toml:1: the document lacks the field region
      fleet.toml:1: the document lacks the field site
      fleet.toml:1: the document lacks the field rule; allowed: a list of 1 to 256 tables
      """

  Scenario: based_on is checked against the revision that is given
    Guards against a check that accepts what every instance will reject.
    Given the file fleet.toml for applespring-check
      """
      based_on = 4
      """
    When applespring-check runs with check --revision 9 fleet.toml
    Then applespring-check exits with 1
    And applespring-check prints errors with
      """
      fleet.toml:1: the document has based_on = 4 in revision 9; allowed: 8
      """

  Scenario Outline: The documents of the two sites are valid
    Guards against examples that no longer match the format or the numbers of
    upstreams and client accounts of the sites.
    Given the configuration file <file>
    When the document is loaded as revision 1
    Then the document has no errors
    And its pool language-model has <engines> upstreams
    And its pool encoder has 3 upstreams
    And its pool <service> has 3 upstreams
    And its pools that report load are <reporting>
    And it has 5 client accounts

    Examples:
      | file                 | engines | service     | reporting                                              |
      | examples/obalne.toml | 9       | bookings    | language-model, notices, payments, permits             |
      | examples/ramdin.toml | 6       | logbook-api | buyer-ledger, crew-roster, ice-booking, language-model |

  Scenario Outline: The documents of the two sites are in the standard layout
    Guards against a formatter that changes an already formatted document.
    When applespring-check runs with format <file>
    Then applespring-check exits with 0
    And applespring-check prints the file <file>

    Examples:
      | file                 |
      | examples/obalne.toml |
      | examples/ramdin.toml |

  Scenario: An explanation of a request
    Guards against an explanation that does not show which rule decides.
    When applespring-check runs with explain examples/obalne.toml --pipeline assistant --account web --stream --pool-busy language-model=0.9
    Then applespring-check exits with 0
    And applespring-check prints lines with
      """
      rule "payments-first" does not hold
          pipeline = "payment" does not hold: observed "assistant"
      rule "shorten-when-busy" decides
          pool_busy_above = { pool = "language-model", fraction = 0.85 } holds: observed 0.9
      rule "streams" holds, but an earlier rule decides
          no conditions: always holds
      decision of rule "shorten-when-busy"
          max_tokens = 96
      """

  Scenario: format --write replaces a file by its standard layout
    Guards against a formatter that loses the contents of the file.
    Given the file fleet.toml for applespring-check
      """
      site="Pier" # north end
      """
    When applespring-check runs with format --write fleet.toml
    Then applespring-check exits with 0
    And the file fleet.toml now holds
      """
      site = "Pier"  # north end
      """

  Scenario: format --write leaves a file that is not TOML unchanged
    Guards against a formatter that destroys a document with a syntax error.
    Given the file fleet.toml for applespring-check
      """
      site="Pier
      """
    When applespring-check runs with format --write fleet.toml
    Then applespring-check exits with 1
    And applespring-check prints errors with
      """
      fleet.toml:1: the document is not TOML: Illegal character
      """
    And the file fleet.toml now holds
      """
      site="Pier
      """

  Scenario Outline: Wrong usage is refused with the name, the value and the range
    Guards against a misspelt setting or a value out of range that is ignored.
    Given the variable <variable> for applespring-check
    When applespring-check runs with <arguments>
    Then applespring-check exits with 2
    And applespring-check prints errors with
      """
      <error>
      """

    Examples:
      | variable                  | arguments                                                                  | error                                                                   |
      | APPLESPRING_REVISIN = 3   | check examples/obalne.toml                                                 | APPLESPRING_REVISIN=3 is not allowed; allowed: APPLESPRING_ACCOUNT,     |
      | APPLESPRING_REVISION = 0  | check examples/obalne.toml                                                 | APPLESPRING_REVISION=0 is not allowed; allowed: 1 to 9007199254740992   |
      | APPLESPRING_REVISION = x  | check examples/obalne.toml                                                 | APPLESPRING_REVISION=x is not allowed; allowed: 1 to 9007199254740992   |
      | APPLESPRING_STREAM = yes  | check examples/obalne.toml                                                 | APPLESPRING_STREAM=yes is not allowed; allowed: true, false             |
      | OTHER = 1                 | check --revision 0 examples/obalne.toml                                    | --revision=0 is not allowed; allowed: 1 to 9007199254740992             |
      | OTHER = 1                 | check --revisin 3 examples/obalne.toml                                     | --revisin is not a flag; allowed: --help, --revision, --version          |
      | OTHER = 1                 | check --rev 3 examples/obalne.toml                                         | --rev is not a flag; allowed: --help, --revision, --version             |
      | OTHER = 1                 | check                                                                      | no file is given; allowed: one or more files                            |
      | OTHER = 1                 | check missing.toml                                                         | cannot read missing.toml: No such file or directory                     |
      | OTHER = 1                 | explain examples/obalne.toml --pipeline sale --account web                 | --pipeline=sale is not allowed; allowed: assistant, booking,            |
      | OTHER = 1                 | explain examples/obalne.toml --pipeline permit --account you               | --account=you is not allowed; allowed: web, tourist-board,              |
      | OTHER = 1                 | explain examples/obalne.toml --pipeline permit --account web --hour-utc 24 | --hour-utc=24 is not allowed; allowed: 0 to 23                          |
      | OTHER = 1                 | explain examples/obalne.toml --pipeline permit --account web --pool-busy permits=2 | --pool-busy=permits=2 is not allowed; allowed: a pool, '=' and 0 to 1 |

  Scenario: A variable sets its flag and a flag overrides its variable
    Guards against a variable that is ignored or that overrides its flag.
    Given the variable APPLESPRING_POOL_BUSY = language-model=0.9,encoder=0.1 for applespring-check
    When applespring-check runs with explain examples/obalne.toml --pipeline notice --account web
    Then applespring-check prints lines with
      """
      decision of rule "defer-notices"
      """
    When applespring-check runs with explain examples/obalne.toml --pipeline notice --account web --pool-busy language-model=0.1
    Then applespring-check prints lines with
      """
      decision of rule "everything-else"
      """

  Scenario: The help lists variables and exit codes
    Guards against variables and exit codes that are not documented.
    When applespring-check runs with --help
    Then applespring-check exits with 0
    And applespring-check prints lines with
      """
      APPLESPRING_REVISION: 1 to 9007199254740992
        0  done
        1  a document has errors
        2  wrong usage
      """

  Scenario: The version is printed
    Guards against a program that does not report its version.
    When applespring-check runs with --version
    Then applespring-check exits with 0
    And applespring-check prints
      """
      0.1.0
      """
