Feature: Lines and layout of TOML documents
  tomli returns no positions, so the lines in error messages come from a
  separate tokenizer. The formatter uses it as well.

  Scenario: Lines of keys after strings, comments and lists that span lines
    Guards against error messages with the wrong line.
    Given the TOML text
      """
      # [not] = "a key"
      text = '''
      [[pool]]
      ''' # one
      "quoted [key]" = "]"
      a.b = 1979-05-27 07:32:00
      list = [
          1.5, # ] 2
          [
              2,
              { x = "}", y = [3,
                  4] },
          ],
      ]
      [[pool]]
      name = "one"
      [[pool.upstream]]
      slots = 1
      [pool.extra]
      z = 1
      [[pool]]
      [[pool.upstream]]
      [[pool.upstream]]
      slots = 2
      """
    Then these keys are on these lines
      | path                      | line |
      | text                      | 2    |
      | quoted [key]              | 5    |
      | a/b                       | 6    |
      | list                      | 7    |
      | list/0                    | 8    |
      | list/1                    | 9    |
      | list/1/1/y                | 11   |
      | list/1/1/y/1              | 12   |
      | pool                      | 15   |
      | pool/0/name               | 16   |
      | pool/0/upstream/0/slots   | 18   |
      | pool/0/extra/z            | 20   |
      | pool/1                    | 21   |
      | pool/1/upstream/1         | 23   |
      | pool/1/upstream/1/slots   | 24   |
      | pool/1/upstream/1/missing | 23   |

  Scenario: Rules after a string that contains a rule's header
    Guards against the line of a rule that is taken from text in a multi-line
    string.
    Given the configuration document
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a"]
      pool = [{ name = "p", kind = "service", version = '''
      [[rule]]
      ''', upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }] }]
      pipeline = [{ name = "sale", stages = [{ name = "sell", pool = "p" }] }]
      account = [{ name = "one" }]
      [[rule]]
      name = "first"
      when = { stream = true, hours_utc = "23" }
      [[rule]]
      name = "rest"
      """
    When the document is loaded as revision 1
    Then the document has the errors
      """
      fleet.toml:4: pool "p" has the field version with kind = "service"; allowed: only with kind = "generate"
      fleet.toml:4: pool "p" has version = "[[rule]]\n"; allowed: text of 1 to 200 printable characters
      fleet.toml:11: rule "first" has when.hours_utc = "23"; allowed: two different hours "HH-HH", for example "22-06" or "00-24"
      """

  Scenario: A header in a string and one rule in an inline list
    Guards against the line of a rule that is taken from a string, where as
    many headers as rules are found.
    Given the configuration document
      '''
      site = "Pier"
      region = "north"
      failure_domains = ["a"]
      pool = [{ name = "p", kind = "generate", model = "m", version = """\
      [[rule]]""", upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }] }]
      pipeline = [{ name = "sale", stages = [{ name = "write", pool = "p" }] }]
      account = [{ name = "one" }]
      rule = [{ name = "rest" }]
      '''
    When the document is loaded as revision 1
    Then the document has no errors
    And its rules start on the lines 8

  Scenario: Rules in an inline list, with Windows line ends
    Guards against line numbers that count CRLF or blank lines wrongly.
    Given the configuration document with Windows line ends
      """
      site = "Pier"
      region = "north"
      failure_domains = ["a"]
      pool = [{ name = "p", kind = "service", upstream = [{ name = "u1", address = "127.0.0.1:1", failure_domain = "a", slots = 1 }] }]
      pipeline = [{ name = "sale", stages = [{ name = "sell", pool = "p" }] }]
      account = [{ name = "one" }]
      rule = [
          { name = "first", when = { stream = true } },

          { name = "rest" },
      ]
      """
    When the document is loaded as revision 1
    Then the document has no errors
    And its rules start on the lines 8,10

  Scenario: The standard layout
    Guards against a formatter that loses comments, changes values or changes
    its own output.
    Given the TOML text
      """


      a="x  #  y"   # why
      when=1979-05-27 07:32:00
      b = [1,2.5 ,
      # two
      {c={},d = [ 3 ]},
      ]
      # about the pool
      [[ pool ]]# first
      name  =  'p'


      other.key = -1e3
      [ pool.extra ]

      """
    Then it is formatted as
      """
      a = "x  #  y"  # why
      when = 1979-05-27 07:32:00
      b = [1, 2.5,
          # two
          { c = {}, d = [3] },
      ]

      # about the pool
      [[pool]]  # first
      name = 'p'

      other.key = -1e3

      [pool.extra]
      """

  Scenario: The standard layout of a document with Windows line ends
    Guards against a formatted document with mixed line ends.
    Given the configuration document with Windows line ends
      """
      text = '''a
      b'''
      # two
      """
    Then it is formatted as
      """
      text = '''a
      b'''
      # two
      """

  Scenario: A tokenizer that omits a token
    Guards against a formatter that writes a document with other values.
    Given the TOML text
      """
      list = [1, 2]
      a.b = 3
      """
    And a tokenizer that omits the token 2
    Then it is not formatted
