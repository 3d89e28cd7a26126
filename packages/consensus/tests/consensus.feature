Feature: Consensus
  An accepted configuration never reverts to an older one, whatever fails.

  @point1
  Scenario: Random faults never undo an acknowledged command
    When 100 runs of the "quorum" with seed 1 are tried with mechanism off "none"
    Then no run breaks the oracle

  @point1 @off
  Scenario Outline: The oracle detects a disabled mechanism
    When 400 runs of the "quorum" with seed 1 are tried with mechanism off "<mechanism>"
    Then a run breaks the oracle

    Examples:
      | mechanism        |
      | send before sync |
      | forget votes     |
      | ignore lease     |
      | ignore suspension |
      | forget lease     |
      | keep identity    |

  @point1
  Scenario: An incomplete last batch is discarded and all synced batches before it are kept
    Given a log file with 5 synced batches
    When the last batch is torn
    Then the log opens with 4 batches

  @point1
  Scenario: A log that is damaged before its end is refused
    Given a log file with 5 synced batches
    When a byte in the middle is changed
    Then opening the log fails with code 5001
