Feature: The time from which a sidecar may send orders to its engine
  # Guards against a sidecar that drops its wait when the leader changes, and one that begins before a new leader knows the previous lease holder.
  Scenario Outline: A sidecar that <state> receives at 1000 ms a delay of <delay> ms, with holders known in <known> ms
    Given a sidecar that <state>
    When it receives at 1000 ms a delay of <delay> ms, with holders known in <known> ms
    Then it may send orders from <start> ms on

    Examples:
      | state                        | delay | known | start |
      | has had no leader            | 0     | 0     | 1000  |
      | has had no leader            | 0     | 900   | 1900  |
      | has had no leader            | 2600  | 900   | 3600  |
      | must wait until 4000 ms      | 0     | 0     | 4000  |
      | must wait until 1500 ms      | 0     | 900   | 1900  |
      | may send orders since 500 ms | 0     | 900   | 500   |
      | may send orders since 500 ms | 2600  | 0     | 3600  |
