Feature: Replicas get new weights a few at a time

  Background:
    Given 9 replicas at version 1 of which 3 may load at once
    And 3 routers

  Scenario: A new version reaches every replica
    When the version becomes 2
    And 60 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once

  Scenario: Requests finish before their replica loads
    Given each replica runs 2 of 10 requests
    When the version becomes 2
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once
    And no replica loaded while requests ran on it

  Scenario: The holder crashes while replicas load
    When the version becomes 2
    And 6 s pass
    And the holder crashes
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once

  Scenario: The holder crashes between a loading record and its order
    When the version becomes 2
    And the first loading records are written
    And the holder crashes
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once

  Scenario: Every router restarts during the rollout
    When the version becomes 2
    And 6 s pass
    And every router restarts
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once

  Scenario: The holder is paused past the end of its lease
    When the version becomes 2
    And 6 s pass
    And the holder is paused for 30 s
    And 60 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once
    And no order arrived after an order of a later holder

  Scenario: Engines that ignore fencing get no order of an earlier holder
    Given the replicas ignore fencing numbers
    When the version becomes 2
    And 6 s pass
    And the holder is paused for 30 s
    And 90 s pass
    Then every replica serves version 2
    And no order arrived after an order of a later holder

  Scenario: The store is down during the rollout
    When the version becomes 2
    And 6 s pass
    And the store is down for 40 s
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once
    And no order was sent between 12 s and 40 s of the outage

  Scenario: An answer of the store is lost
    When the version becomes 2
    And the next 2 answers of the store are lost
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once

  Scenario: A new version is applied during the rollout
    When the version becomes 2
    And 6 s pass
    And the version becomes 3
    And 90 s pass
    Then every replica serves version 3
    And at most 3 replicas loaded at once

  Scenario: A new configuration returns to the old version
    When the version becomes 2
    And 6 s pass
    And the version becomes 1
    And 90 s pass
    Then every replica serves version 1

  Scenario: A new configuration stops the rollout
    When the version becomes 2
    And 4 s pass
    And 0 replicas may load at once
    And 60 s pass
    Then some replicas serve version 1
    And no replica is out of service

  Scenario: An engine crashes while it loads
    When the version becomes 2
    And 4 s pass
    And a loading replica crashes
    And 90 s pass
    Then every replica serves version 2
    And at most 3 replicas loaded at once

  Scenario: The remaining replicas lack the capacity
    Given each replica runs 7 of 10 requests
    When the version becomes 2
    And 10 s pass
    Then at most 1 replicas loaded at once
