Feature: Which prompt part crashes engines
  Guards against a part that crashes engines at each instance anew, against
  sound parts that are refused for being near, and against a part that is never
  tried again.

  Scenario Outline: Crashes that different instances saw count together
    Guards against a rule of each instance for itself: five crashes may be seen
    by five instances, and each would wait for five of its own.
    Given the crash ledgers of <size> instances
    When <count> engines crash 0.7 s apart on the part dead, each seen by another instance
    And the exchanges of <bound> s pass
    Then every instance holds dead in quarantine and nothing else

    Examples:
      | size | count | bound |
      | 7    | 2     | 3     |
      | 84   | 2     | 4     |
      | 195  | 2     | 5     |
      | 195  | 5     | 5     |

  Scenario Outline: An instance that missed the crashes learns of them
    Guards against an instance that joins, restarts or was cut off, and sends
    requests on.
    Given the crash ledgers of <size> instances
    When 3 engines crash 0.7 s apart on the part dead, each seen by another instance
    And the exchanges of 15 s pass
    And an instance starts
    And the exchanges of <bound> s pass
    Then every instance holds dead in quarantine and nothing else

    Examples:
      | size | bound |
      | 7    | 3     |
      | 84   | 4     |
      | 195  | 5     |

  Scenario Outline: Parts that come in company of the one that crashes engines
    Guards against a common part that is refused, and against the one that
    crashes engines being taken for a companion.
    Given the crash ledgers of 7 instances
    And all instances have seen the part first answered
    When 3 engines crash 0.7 s apart on a prompt of <prompt>
    Then every instance holds <held> in quarantine and nothing else

    Examples:
      | prompt       | held |
      | first, dead  | dead |
      | dead, first  | dead |
      | other, dead  | dead |
      | dead         | dead |

  Scenario: A sound companion that was taken for the culprit is released
    Guards against a wrong choice between two parts that always came together:
    the trial of the sound one answers, and the other one takes its place.
    Given the crash ledgers of 7 instances
    When 2 engines crash 0.7 s apart on a prompt of dead, later
    Then every instance holds later in quarantine and nothing else
    When a request with later is answered as a trial
    And the exchanges of 2 s pass
    Then every instance holds dead in quarantine and nothing else

  Scenario: Two parts that crash engines on two routes at once
    Guards against evidence for one part that hides the other one.
    Given the crash ledgers of 7 instances
    When 8 engines crash 0.7 s apart, in turn on the parts dead and fatal
    Then every instance holds dead and fatal in quarantine and nothing else

  Scenario Outline: A series of ordinary crashes holds no sound part
    Guards against sound parts that are refused since requests with them were at
    engines that crashed, were killed or lost power: at most one request in 500,
    which is what callers may be denied.
    Given sound requests, <rate> a second, at <engines> engines for 60 s
    When <down> engines crash every <every> s, <which>
    Then at most one request in 500 meets a quarantined part in 20 runs

    Examples:
      | rate | engines | down | every | which            |
      | 15   | 9       | 1    | 2.0   | any of them      |
      | 15   | 9       | 1    | 1.0   | any of them      |
      | 15   | 9       | 2    | 2.2   | always the same  |
      | 80   | 45      | 7    | 3.0   | any of them      |
      | 80   | 78      | 12   | 5.0   | any of them      |

  Scenario: A part that another instance has seen answered needs more crashes
    Guards against a sound part that is quarantined after two crashes, since the
    instances that saw them had not seen the answers to it (kabine-obala, five
    ordinary crashes, seed 31).
    Given the crash ledgers of 7 instances
    And the part popular was answered before at one instance
    When 2 engines crash 0.7 s apart on the part popular, each seen by another instance
    And the exchanges of 2 s pass
    Then no instance holds a part in quarantine
    When 1 engines crash 0.7 s apart on the part popular, each seen by another instance
    And the exchanges of 2 s pass
    Then every instance holds popular in quarantine and nothing else

  Scenario: Crashes that no answer follows hold few parts
    Guards against an event loop that is busy with a long list of crashes, and
    against parts that are quarantined since every engine fails: the parts of
    all requests are then in several crashes, and none is answered.
    Given the crash ledgers of 1 instances
    When 300 engines crash 1 s apart, each under 12 of 500 parts, and nothing is answered
    Then 8 parts are in quarantine and 128 crashes are remembered

  Scenario: A power loss of several engines is one crash
    Guards against parts that are quarantined since requests with them were at
    several engines of a failure domain that lost power.
    Given the crash ledgers of 7 instances
    When 6 engines crash 0.01 s apart on the part popular, each seen by another instance
    Then no instance holds a part in quarantine

  Scenario Outline: A part that is sound again is released everywhere
    Guards against a part that stays refused for good, and against trials by
    many instances at once.
    Given the crash ledgers of <size> instances
    When 3 engines crash 0.7 s apart on the part dead, each seen by another instance
    And the exchanges of 3 s pass
    Then no trial is granted
    When the exchanges of 5 s pass
    And all instances ask for a trial of dead
    Then 1 trial is granted
    When a request with dead is answered as a trial
    And the exchanges of <bound> s pass
    Then no instance holds a part in quarantine

    Examples:
      | size | bound |
      | 7    | 3     |
      | 84   | 4     |
      | 195  | 5     |

  Scenario Outline: Trials crash few engines
    Guards against trials of a part that goes on crashing engines: more than
    three after the fifth crash break the users' rule.
    Given the crash ledgers of <size> instances
    When 3 engines crash 0.7 s apart on the part dead, each seen by another instance
    And trials of dead are asked for every second for 900 s, and each crashes an engine
    Then at most 8 engines crash

    Examples:
      | size |
      | 7    |
      | 84   |

  Scenario: Entries that go round and round stay as they are
    Guards against times that move with every exchange, since each message
    arrives later than it was sent.
    Given the crash ledgers of 7 instances
    When 3 engines crash 0.7 s apart on the part dead, each seen by another instance
    And the exchanges of 400 s pass
    Then every instance dates the last crash within 0.1 s
