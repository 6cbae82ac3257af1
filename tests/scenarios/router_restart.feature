Feature: A router that restarts serves at once, with the newest configuration

  Scenario: The store is down
    Given a router with the newest configuration
    And the store is down
    When another router starts that knows the first one
    Then within 1 s it is ready with the same revision

  Scenario: The store is down and the seed is wrong, but a peer calls
    Given a router with the newest configuration
    And the store is down
    When another router starts that knows nobody
    Then it says not ready
    When a router starts that knows both
    Then within 5 s it is ready with the same revision

  Scenario: The store loses its state and shows an older revision
    Given a router with the newest configuration
    When the store is replaced by an older copy
    And another router starts that knows the first one
    Then within 5 s it is ready with the same revision

  Scenario: A restarted router is known by its new incarnation
    Given a router with the newest configuration
    When another router starts that knows the first one
    And it is killed and started again at once
    Then within 1 s it is ready with the same revision
    And within 5 s the first router knows its new incarnation
