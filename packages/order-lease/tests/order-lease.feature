Feature: Order leases
  The leader leases each engine without a sidecar to one process at a time; only this lease holder sends the engine orders.

  Background:
    Given a leader that begins at 0 ms and an order gap of 3000 ms

  Scenario: An engine whose sidecar does not report gets a lease holder
    When engine "e1" and gateways "g1, g2" report from 0 ms to 4000 ms
    Then "e1" is held by one of "g1, g2", who may order from 6500 ms on

  Scenario: An engine with a sidecar gets no lease holder
    When the sidecar of "e1" reports
    And engine "e1" and gateways "g1, g2" report from 0 ms to 20000 ms
    Then "e1" is held by nobody

  Scenario: A new engine gets a lease holder at once if no engine has a sidecar
    When engine "e1" and gateway "g1" report from 0 ms to 20000 ms
    And engines "e1, e2" and gateway "g1" report from 20500 ms to 20500 ms
    Then "e2" may be ordered from 20500 ms on

  Scenario: A new engine gets a lease holder after a wait for its sidecar if another engine has one
    When the sidecar of "e1" reports
    And engine "e1" and gateway "g1" report from 0 ms to 20000 ms
    And engines "e1, e2" and gateway "g1" report from 20500 ms to 23500 ms
    Then "e2" may be ordered from 23500 ms on

  Scenario: The leases of several engines are spread over all candidates
    When engines "e1, e2, e3, e4" and gateways "g1, g2" report from 0 ms to 4000 ms
    Then each of "g1, g2" holds 2 engines

  # Guards against leasing an engine to a process that is about to end: the engine would get no orders until the lease expires.
  Scenario: A process that is stopping gets no new lease if another process can hold it
    When gateway "g1" reports that it is stopping
    And engine "e1" and gateways "g1, g2" report from 0 ms to 4000 ms
    Then "e1" is held by one of "g2", who may order from 6500 ms on

  # Guards against engines that get no orders while all processes are being restarted.
  Scenario: A process that is stopping gets the lease if all processes are stopping
    When gateway "g1" reports that it is stopping
    And engine "e1" and gateway "g1" report from 0 ms to 4000 ms
    Then "e1" is held by one of "g1", who may order from 6500 ms on

  # Guards against a holder that still uses a lease which the leader considers expired.
  Scenario: A process that is stopping keeps its leases
    When engine "e1" and gateways "g1, g2" report from 0 ms to 8000 ms
    And gateway "g1" reports that it is stopping
    And engine "e1" and gateways "g1, g2" report from 8500 ms to 16000 ms
    Then "e1" is held by one of "g1", who may order from 6500 ms on

  Scenario: A holder that stops reporting is replaced once its orders can no longer arrive
    When engine "e1" and gateway "g1" report from 0 ms to 8000 ms
    And engine "e1" and gateway "g2" report from 8500 ms to 12000 ms
    Then "e1" is held by one of "g2", who may order from 14500 ms on
    And its fencing token is higher than that of the previous holder

  Scenario: A holder that restarts at once keeps its lease
    When engine "e1" and gateway "g1" report from 0 ms to 8000 ms
    And engine "e1" and gateways "g1, g2" report from 9500 ms to 12000 ms
    Then "e1" is held by one of "g1", who may order from 6500 ms on

  Scenario: A new leader adopts the leases that holders report to it
    When a leader of a later term begins at 20000 ms
    And "g1" reports a lease of "e1" with fencing token 70000
    And engine "e1" and gateways "g1, g2" report from 20000 ms to 26000 ms
    Then "e1" is held by one of "g1", who may order from 20000 ms on

  Scenario: A sidecar that starts late waits until orders of the lease holder can no longer arrive
    When engine "e1" and gateway "g1" report from 0 ms to 8000 ms
    And the sidecar of "e1" reports
    Then "e1" is held by nobody
    And at 8000 ms the sidecar of "e1" waits for 6500 ms
    When engine "e1" and gateway "g1" report from 8500 ms to 12000 ms
    Then at 12000 ms the sidecar of "e1" waits for 2500 ms

  # Guards against a sidecar that sends orders too soon, 1.2 s after those of a holder whose lease ended while there was no leader.
  Scenario: A sidecar that starts late under a new leader waits for orders of the previous leader's lease holder
    When a leader of a later term begins at 20000 ms
    And the sidecar of "e1" reports
    Then at 20100 ms it knows the previous holders in 900 ms, and at 21000 ms in 0 ms
    When a holder reports at 20400 ms that its lease of "e1" ended 300 ms ago
    Then at 20500 ms the sidecar of "e1" waits for 2600 ms
    And at 20500 ms the sidecar of "e2" waits for 0 ms

  Scenario: Two holders never send orders to an engine within the gap, under any message loss and change of leader
    When 300 random histories of reports, lost messages, restarts and leader changes are run
    Then no engine received orders from two holders within the gap or with a decreasing fencing token
