Feature: Every promise holds under every fault that can affect it

  Scenario Outline: <fault> occurs while callers send requests
    Given three routers over four engines and one key-value service
    When <fault> occurs at 3 s for 4 s in five schedules
    And an endpoint leaves, a router stops and operators race meanwhile
    Then no promise is broken
    And the promises checked are <promises>

    Examples:
      | fault | promises |
      | crossed_answer | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | endpoint_leaving | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | engine_crash | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | engine_cut | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | engine_freeze | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | hosts_outage | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | hosts_short | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | lost_answer | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | operators_race | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | peer_cut | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | router_freeze | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | router_herd | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | router_kill | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | router_stop | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | store_cut | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | store_outage | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | store_slow | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
      | truncated_stream | cache_isolation, complete_streams, warm_restart, own_answer, not_run, at_most_once, leaving, graceful_stop, configuration |
