Feature: Within 3 s no router sends new requests to a leaving endpoint

  Scenario: The host list shows the endpoint as leaving
    Given three routers that know each other
    When the host list shows note-writers-1 as leaving
    Then within 3 s no router uses note-writers-1

  Scenario: The endpoint announces to one router that it is leaving while the host list is down
    Given three routers that know each other
    And the host list is down
    When note-writers-2 announces in an answer to entry-1 that it is leaving
    Then within 3 s no router uses note-writers-2

  Scenario: The host list lags and the load report announces that the endpoint is leaving
    Given three routers that know each other
    And the host list lags by an hour
    When note-writers-3 announces in its load report that it is leaving
    Then within 3 s no router uses note-writers-3

  Scenario: The host list is empty
    Given three routers that know each other
    When the host list is empty for 2 s
    Then every router uses all 6 endpoints

  Scenario: The store is down
    Given three routers that know each other
    And the store is down
    When the host list shows note-writers-1 as leaving
    Then within 3 s no router uses note-writers-1

  Scenario: The endpoint does not leave after all
    Given three routers that know each other
    When the host list shows note-writers-1 as leaving
    Then within 3 s no router uses note-writers-1
    When the host list shows note-writers-1 as live
    Then within 3 s every router uses note-writers-1
