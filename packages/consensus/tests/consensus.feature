Feature: Consensus
  An accepted configuration never reverts to an older one, whatever fails.

  Scenario: Random faults never undo what was acknowledged
    Given the quorum's mechanisms are all on
    When 60 runs of random commands with seed 1 are tried
    Then no run breaks the oracle

  Scenario Outline: The oracle notices when a mechanism is off
    Given the quorum's mechanism is mutated to "<mutation>"
    When up to <runs> runs of random commands with seed 1 are tried
    Then a run breaks the oracle

    Examples:
      | mutation         | runs |
      | send before sync | 300  |
      | forget votes     | 300  |
      | ignore lease     | 300  |
      | keep identity    | 300  |
      | forget lease     | 300  |
