Feature: Order leases
  An engine without a sidecar gets its orders from one process at a time, which the leader chooses.

  Background:
    Given a leader that begins at 0 ms and an order gap of 3000 ms

  Scenario: An engine whose sidecar does not show up gets a holder
    When engine "e1" and gateways "g1, g2" are heard from 0 ms to 4000 ms
    Then "e1" is held by one of "g1, g2", who may order from 6500 ms on

  Scenario: An engine with a sidecar gets none
    When the sidecar of "e1" is heard
    And engine "e1" and gateways "g1, g2" are heard from 0 ms to 20000 ms
    Then "e1" is held by nobody

  Scenario: Where no engine has a sidecar, one that joins gets a holder at once
    When engine "e1" and gateway "g1" are heard from 0 ms to 20000 ms
    And engines "e1, e2" and gateway "g1" are heard from 20500 ms to 20500 ms
    Then "e2" may be ordered from 20500 ms on

  Scenario: Where others have a sidecar, one that joins is waited for
    When the sidecar of "e1" is heard
    And engine "e1" and gateway "g1" are heard from 0 ms to 20000 ms
    And engines "e1, e2" and gateway "g1" are heard from 20500 ms to 23500 ms
    Then "e2" may be ordered from 23500 ms on

  Scenario: The holders of several engines are spread
    When engines "e1, e2, e3, e4" and gateways "g1, g2" are heard from 0 ms to 4000 ms
    Then each of "g1, g2" holds 2 engines

  # Guards against an engine that is given to a process which ends in a moment, and has no orders until that one's lease is over.
  Scenario: A process that stops gets no further engine while another one could take it
    When gateway "g1" tells that it stops
    And engine "e1" and gateways "g1, g2" are heard from 0 ms to 4000 ms
    Then "e1" is held by one of "g2", who may order from 6500 ms on

  # Guards against engines without any orders while all processes are restarted.
  Scenario: Where all processes stop, one of them gets the engine
    When gateway "g1" tells that it stops
    And engine "e1" and gateway "g1" are heard from 0 ms to 4000 ms
    Then "e1" is held by one of "g1", who may order from 6500 ms on

  # Guards against a holder that goes on with a lease which the leader takes for over.
  Scenario: A process that stops keeps what it holds
    When engine "e1" and gateways "g1, g2" are heard from 0 ms to 8000 ms
    And gateway "g1" tells that it stops
    And engine "e1" and gateways "g1, g2" are heard from 8500 ms to 16000 ms
    Then "e1" is held by one of "g1", who may order from 6500 ms on

  Scenario: A holder that falls silent is replaced once nothing of it can arrive any more
    When engine "e1" and gateway "g1" are heard from 0 ms to 8000 ms
    And engine "e1" and gateway "g2" are heard from 8500 ms to 12000 ms
    Then "e1" is held by one of "g2", who may order from 14500 ms on
    And its fence is higher than that of the holder before

  Scenario: A holder that restarts at once keeps its lease
    When engine "e1" and gateway "g1" are heard from 0 ms to 8000 ms
    And engine "e1" and gateways "g1, g2" are heard from 9500 ms to 12000 ms
    Then "e1" is held by one of "g1", who may order from 6500 ms on

  Scenario: A new leader goes on with the leases that are reported to it
    When a leader of a later term begins at 20000 ms
    And "g1" reports that it holds "e1" with fence 70000
    And engine "e1" and gateways "g1, g2" are heard from 20000 ms to 26000 ms
    Then "e1" is held by one of "g1", who may order from 20000 ms on

  Scenario: A sidecar that starts late waits until the holder before it is over
    When engine "e1" and gateway "g1" are heard from 0 ms to 8000 ms
    And the sidecar of "e1" is heard
    Then "e1" is held by nobody
    And at 8000 ms the sidecar of "e1" waits for 6500 ms
    When engine "e1" and gateway "g1" are heard from 8500 ms to 12000 ms
    Then at 12000 ms the sidecar of "e1" waits for 2500 ms

  # Guards against: orders of a sidecar 1.2 s after those of a holder whose lease ended while there was no leader.
  Scenario: A sidecar that starts late under a new leader waits for what a holder may have ordered before
    When a leader of a later term begins at 20000 ms
    And the sidecar of "e1" is heard
    Then at 20100 ms it knows the holders before it in 900 ms, and at 21000 ms in 0 ms
    When a holder tells at 20400 ms that its lease of "e1" ended 300 ms ago
    Then at 20500 ms the sidecar of "e1" waits for 2600 ms
    And at 20500 ms the sidecar of "e2" waits for 0 ms

  Scenario: No two holders order one engine within the gap, whatever is lost and whoever leads
    When 300 random histories of reports, silences, restarts and leaders are played
    Then in each no engine got orders from two holders within the gap, and no fence went back
