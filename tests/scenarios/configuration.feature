Feature: An accepted configuration is in force on every router and never reverts

  Background:
    Given 3 routers and a store with version 1 in force

  Scenario: A change is in force within 5 s
    When version 2 is applied
    Then the apply succeeded
    And version 2 is in force everywhere within 5 s

  Scenario: The answer to the apply is lost
    When the next 3 answers of the store are lost
    And version 2 is applied
    Then the apply succeeded
    And version 2 is in force everywhere within 5 s

  Scenario: Two operators apply at once
    When versions 2 and 3 are applied at once
    Then one apply succeeded and the other named the winner
    And the winner's version is in force everywhere within 5 s

  Scenario: The store is restored from an older backup
    When the store is backed up
    And version 2 is applied
    And version 2 is in force everywhere within 5 s
    And the store is restored from the backup
    And 60 s pass
    Then version 2 is in force everywhere within 5 s
    And version 3 can be applied and is in force within 20 s

  Scenario: The store is down and its history is compacted
    When the store is down
    And 60 s pass
    Then version 1 is in force everywhere within 5 s
    And the store is up again with version 2 and a compacted history
    And version 2 is in force everywhere within 15 s

  Scenario: A watch stalls
    When the watches stall
    And version 2 is applied
    Then version 2 is in force everywhere within 20 s

  Scenario: A router restarts while the store is down
    When version 2 is applied
    And version 2 is in force everywhere within 5 s
    And the store is down
    And router 1 restarts
    Then router 1 has no configuration
    And router 1 receives version 2 from router 2
    And router 1 rejects version 1 from an outdated peer

  Scenario: The store is slow
    When each call on the store takes 0.5 s
    And version 2 is applied
    Then the apply succeeded
    And version 2 is in force everywhere within 5 s
