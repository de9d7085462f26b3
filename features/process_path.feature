Feature: Processes: the complete request path
  Guards against faults that only occur between real processes.

  Scenario: Requests, streams and payments pass every instance
    Guards against components that work together only in the simulator's
    virtual time.
    Given a process fleet with 1 instances in each failure domain
    When 4 requests, 4 streams and 4 payments go through each process
    Then every call to a process was answered completely
    And the execution records of the processes show no violation

  Scenario: An engine is killed in mid-stream
    Guards against a missing or repeated token in a resumed stream.
    Given a process fleet with 1 instances in each failure domain
    And its "language-model" processes freeze at token 5
    When 3 streams to the processes have their first token
    And the engine process that runs a stream is killed
    And its "language-model" processes resume
    Then every call to a process was answered completely

  Scenario: Requests are served while the platform is down
    Guards against a platform outage that stops the serving of requests.
    Given a process fleet with 1 instances in each failure domain
    When the process "platform" is killed
    And 4 requests, 4 streams and 4 payments go through each process
    Then every call to a process was answered completely

  Scenario: A configuration change reaches every process within 8 s
    Guards against an instance that keeps an old document after a change.
    Given a process fleet with 2 instances in each failure domain
    When a newer document is published to the processes
    Then every entry process has it in force within 8 s

  Scenario: Fleets that start at the same time use different ports
    Guards against a process whose port is in use, because another fleet chose
    the same port before either had bound it.
    When two port choosers with the same seed choose 20 ports each
    Then the 40 ports are different
