Feature: A restarted router serves immediately with the newest configuration

  Scenario: The store is down
    Given a router with the newest configuration
    And the store is down
    When another router starts with the first one as its seed
    Then within 1 s it is ready with the same revision

  Scenario: The store is down and there is no seed, but a peer connects
    Given a router with the newest configuration
    And the store is down
    When another router starts without seeds
    Then it reports not ready
    When a third router starts with both as its seeds
    Then within 5 s it is ready with the same revision

  Scenario: The store loses its state and has an older revision
    Given a router with the newest configuration
    When the store is replaced by an older copy
    And another router starts with the first one as its seed
    Then within 5 s it is ready with the same revision

  Scenario: Peers record the new incarnation of a restarted router
    Given a router with the newest configuration
    When another router starts with the first one as its seed
    And it is stopped and restarted immediately
    Then within 1 s it is ready with the same revision
    And within 5 s the first router records its new incarnation
