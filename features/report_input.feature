Feature: Faults in the input of the service level report
  Guards against a report that ignores a fault in its input or stops at the
  first one.

  Background:
    Given the report's document with the pipelines
      | name   | objective |
      | search | 0.9       |

  Scenario Outline: A malformed line is reported and the others count
    Guards against a report without the file and line of the fault, or without
    the other samples.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      # HELP applespring_requests_total Requests.
      <line>
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 10 1700000000000
      """
    When the report is made with ""
    Then the report ends with code 1
    And the report's errors are "e1.prom:3: <sentence>"
    And the report notes "1 faults in the input, the first: "
    And the report's row "search" in "Service level by pipeline" is
      | requests |
      | 10       |

    Examples:
      | line                          | sentence                                   |
      | <html>                        | not a sample: '<html>'                     |
      | applespring_pauses_total      | not a sample: 'applespring_pauses_total'   |
      | applespring_pauses_total x    | not a number: 'x'                          |
      | a_total{pool=encoder} 1       | malformed labels: 'pool=encoder'           |
      | a_total{pool="x" kind="y"} 1  | malformed labels: 'pool="x" kind="y"'      |
      | # scrape e1 yesterday         | expected '# scrape NAME UNIX-SECONDS' or '# scraped_at_unix_s UNIX-SECONDS' |

  Scenario: A sample that occurs twice in a scrape is a fault
    Guards against a comparison of label sets that depends on their order.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      a_total{pool="x",kind="y"} 1
      a_total{kind="y",pool="x"} 2
      """
    When the report is made with ""
    Then the report's errors are "e1.prom:3: a_total occurs twice with the same labels"

  Scenario Outline: A file without any scrape is a fault
    Guards against an empty report that ends with code 0.
    Given the saved scrapes "e1.prom"
      """
      <text>
      """
    When the report is made with ""
    Then the report ends with code 1
    And the report's errors are "<errors>"

    Examples:
      | text     | errors                                                                  |
      |          | e1.prom:1: the file has no samples / no scrape could be read            |
      | # HELP a | e1.prom:1: the file has no samples / no scrape could be read            |

  Scenario: A missing file is reported and the others count
    Guards against a report that stops at a missing file.
    Given the saved scrapes "e1.prom"
      """
      # scrape e1 1000
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 1
      """
    When the report is made with "lost.prom"
    Then the report ends with code 1
    And the report's errors are "lost.prom:1: cannot be read: No such file or directory"
    And the report's row "search" in "Service level by pipeline" is
      | requests |
      | 1        |

  Scenario: Label values are unescaped; the file name gives instance and time
    Guards against scrapes of other tools that the report cannot read.
    Given the saved scrapes "entry-7@1500.prom"
      """
      a_total{text="say \"hi\"\\\n"} 1
      """
    Then the report reads instance "entry-7" at 1500 s with the label 'say "hi"\' and a new line

  Scenario: A scrape with a time and no name takes the name from its metrics
    Guards against one instance that appears as several.
    Given the saved scrapes "e9.after.prom"
      """
      # scraped_at_unix_s 1500.5
      applespring_instance_info{name="e9",incarnation="a"} 1
      a_total{text="x\n"} 1
      """
    Then the report reads instance "e9" at 1500.5 s with the label 'x' and a new line

  Scenario Outline: Wrong usage ends with code 2
    Guards against a report on other data than the caller asked for.
    When the report is made without files with "<flags>"
    Then the report ends with code 2
    And the report's errors contain "<sentence>"

    Examples:
      | flags                       | sentence                     |
      |                             | no file and no URL           |
      | --window 5                  | --window is not a flag       |
      | x.prom --windows-s 0        | --windows-s=0                |
      | x.prom --config lost.toml   | cannot read lost.toml        |

  Scenario: Objectives come from the first instance with a valid document
    Guards against a report without objectives because one instance has none.
    Given instances for the report that have no document, an invalid one and revision 7
    Then the report fetches the objective 0.9 of "search" at revision 7

  Scenario: Instances are scraped over HTTP and the scrapes are saved
    Guards against saved scrapes that overwrite each other.
    Given an instance for the report at "127.0.0.1:9001" with the metrics
      """
      applespring_instance_info{name="e1",incarnation="a"} 1
      applespring_requests_total{pipeline="search",account="web",outcome="answered"} 4
      """
    When the report scrapes "127.0.0.1:9001" at 1000 s and at 1300 s and saves the scrapes
    Then the file of the report has 2 scrapes of "e1" at 1000 s and 1300 s
    And the report's scrape of "127.0.0.1:9002" fails with "http://127.0.0.1:9002/metrics:1: no answer: unreachable"
