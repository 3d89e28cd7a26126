Feature: When a sidecar begins to order its engine
  # Guards against: a sidecar that forgot the wait it was told as the leader changed, and one that began before a new leader had heard of the holder.
  Scenario Outline: A sidecar that <state> is told at 1000 ms to wait <held> ms, and that the holders are known in <known> ms
    Given a sidecar that <state>
    When a leader tells it at 1000 ms to wait <held> ms, and that the holders are known in <known> ms
    Then it orders from <start> ms on

    Examples:
      | state                   | held | known | start |
      | has heard no leader     | 0    | 0     | 1000  |
      | has heard no leader     | 0    | 900   | 1900  |
      | has heard no leader     | 2600 | 900   | 3600  |
      | waits until 4000 ms     | 0    | 0     | 4000  |
      | waits until 1500 ms     | 0    | 900   | 1900  |
      | has begun at 500 ms     | 0    | 900   | 500   |
      | has begun at 500 ms     | 2600 | 0     | 3600  |
