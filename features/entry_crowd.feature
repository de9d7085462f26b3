@alone
Feature: Clients of an entry instance that keep to no limit
  Guards against a process that ends for lack of memory or descriptors, or
  answers nobody else, whatever its clients send.

  Scenario Outline: The memory of the process holds
    Guards against bodies and streams that fill the memory.
    Given an entry process with 160 MB and 1638 descriptors
    When the entry instance has <count> clients that <act>
    Then the process lives
    And it has used less than 160 MB
    And an ordinary submission was answered meanwhile
    And the sockets of the clients that left are closed

    Examples:
      | count | act                                            |
      | 200   | stop short of the end of a submission of 1 MiB |
      | 60    | send submissions of 64 MiB in chunks           |
      | 20    | upgrade to HTTP/2 and stop short in 20 submissions |

  Scenario: The descriptors of the process hold
    Guards against connections that leave no descriptor for other clients.
    Given an entry process with 160 MB and 400 descriptors
    When the entry instance has 300 clients that connect and send nothing
    Then the process lives
    And it has had at most 200 sockets open
    And an ordinary submission was answered meanwhile
