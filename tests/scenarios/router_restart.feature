Feature: A restarted router serves immediately with the newest configuration

  Scenario: The store is down
    Given a router with the newest configuration
    And the store is down
    When a second router starts with the first one as its seed
    Then within 1 s the second router is ready with the revision of the first

  Scenario: The store is down and there is no seed, but a peer connects
    Given a router with the newest configuration
    And the store is down
    When a second router starts without seeds
    Then the second router reports not ready
    When a third router starts with both as its seeds
    Then within 5 s the second router is ready with the revision of the first

  Scenario: The store loses its state and has an older revision
    Given a router with the newest configuration
    When the store is replaced by an older copy
    And a second router starts with the first one as its seed
    Then within 5 s the second router is ready with the revision of the first

  Scenario: Peers record the new incarnation of a restarted router
    Given a router with the newest configuration
    When a second router starts with the first one as its seed
    And the second router is stopped and restarted immediately
    Then within 1 s the second router is ready with the revision of the first
    And within 5 s the first router records the new incarnation of the second
