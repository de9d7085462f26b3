Feature: Connections of a server that has all it may have
  Guards against crowds that leave no connection to other clients.

  Scenario: Silent connections yield before those that were used
    Guards against clients whose kept connections are closed for a crowd.
    Given a limit of 40 connections
    And 20 connections that rest after an answer
    When 100 connections are opened that send nothing
    Then the 20 connections are still open
    And 40 connections are open

  Scenario: The longest resting connection yields when all were used
    Guards against a new client that is turned away while others rest.
    Given a limit of 40 connections
    And 40 connections that rest after an answer
    When one connection is opened
    Then it is open
    And the first of the 40 was closed

  Scenario: Connections with requests never yield
    Guards against a request that is cut off for a new connection.
    Given a limit of 40 connections
    And 40 connections with a request in progress
    When one connection is opened
    Then it is closed
    And the 40 connections are still open

  Scenario: Connections with a part of a request yield
    Guards against clients that stop within a body and keep all others out.
    Given a limit of 40 connections
    And 40 connections that rested and got the head of a request
    When one connection is opened
    Then it is open
    And the first of the 40 was closed

  Scenario: Silent connections get no more than their share
    Guards against heads that are never completed and fill the memory.
    Given a limit of 40 connections
    When 30 connections are opened that send nothing, one a second
    Then 10 connections are open

  Scenario: Many clients connect at the same moment
    Guards against a burst of new clients that is taken for a crowd.
    Given a limit of 40 connections
    When 40 connections are opened that send nothing
    Then 40 connections are open
