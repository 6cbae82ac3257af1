Feature: A planned stop interrupts no request in progress

  Scenario Outline: A router stops while something fails
    Given two routers that wait at most 10 s for streams
    And 6 streams in progress at the first one
    And <fault>
    When the first router is stopped
    Then the first router reported not ready immediately
    And all streams end complete
    And the second router records that the first one left

    Examples:
      | fault                                        |
      | nothing fails                                |
      | the store is down                            |
      | the host list is down                        |
      | the endpoints announce that they are leaving |

  Scenario: Streams that exceed the time limit are ended
    Given two routers that wait at most 0.2 s for streams
    And 2 streams in progress at the first one
    When the first router is stopped
    Then the stop took less than 2 s
    And no stream ends complete
