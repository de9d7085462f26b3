Feature: Generated histories of keyed requests
  Guards against a key that runs twice after faults in combination: kills,
  pauses, partitions, lost messages, instance lists that differ, restarts, drains
  and resubmissions in any order.

  Scenario: No key runs twice in any generated history
    Then 60 generated histories run no key twice
