Feature: Withdrawals in the replicated log
  # Guards against orders of heartbeats, commits, changes of the leader and updates of followers that the scenarios with real processes do not cover.
  Scenario: An upstream whose withdrawal was acknowledged is offered by no leader and no follower that has its update
    When 400 random histories of 120 steps with 4 upstreams, 2 controllers and 2 followers are played
    Then no upstream was offered after its withdrawal had been acknowledged
    And at least 300 withdrawals were acknowledged, and 100 upstreams took the address of another one
