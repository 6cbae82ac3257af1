Feature: A request with an idempotency key runs at most once

  Background:
    Given two routers that claim through one store

  Scenario: A retry through another router after the first completed
    When the call is made through router 1
    And the call is made through router 2
    Then the results of the calls were "completed, already ran"
    And the call ran 1 time

  Scenario: Both routers receive the call at once
    When the call is made through both routers at once
    Then one call completed and the outcome of the other is unknown
    And the call ran 1 time

  Scenario: The router crashes between the claim and the first byte
    When router 1 crashes after the claim
    And the call is made through router 2
    Then the results of the calls were "unknown"
    And the call ran 0 times

  Scenario: The router crashes after the first byte
    When router 1 crashes after the first byte
    And the call is made through router 2
    Then the results of the calls were "unknown"
    And the call ran 1 time

  Scenario: No endpoint can be reached after the claim
    When no endpoint can be reached
    And the call is made through router 1
    And the endpoints can be reached again
    And the call is made through router 2
    Then the results of the calls were "not run, completed"
    And the call ran 1 time

  Scenario: The store is down
    When the store is down
    And the call is made through router 1
    And the store is up again
    And the call is made through router 2
    Then the results of the calls were "not run, completed"
    And the call ran 1 time
    And no call waited longer than 1 s for its claim

  Scenario: The store is slow
    When the store answers after 5 s
    And the call is made through router 1
    And the store is up again
    And the call is made through router 2
    Then the results of the calls were "not run, completed"
    And the call ran 1 time
    And no call waited longer than 1 s for its claim

  Scenario: The answer to the claim is lost
    When the next 1 answers of the store are lost
    And the call is made through router 1
    And the call is made through router 2
    Then the results of the calls were "completed, already ran"
    And the call ran 1 time

  Scenario: The answer to the claim is lost and the store goes down
    When the next 1 answers of the store are lost
    And the store goes down after its next write
    And the call is made through router 1
    And the store is up again
    And the call is made through router 2
    Then the results of the calls were "not run, completed"
    And the call ran 1 time

  Scenario: A retry during an outage after the outcome was unknown
    When the answer of the endpoint is lost
    And the call is made through router 1
    And the store is down
    And the call is made through router 1
    And the store is up again
    And the call is made through router 2
    Then the results of the calls were "unknown, unknown, unknown"
    And the call ran 1 time

  Scenario: The lease of the claims is lost
    When the call with another key is made through router 1
    And the store loses its leases
    And the call is made through router 1
    And the call is made through router 2
    Then the results of the calls were "completed, completed, already ran"
    And the call ran 1 time
