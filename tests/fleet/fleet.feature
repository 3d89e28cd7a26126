Feature: Replicas and memory
  No model has more replicas loaded than were decided, and no VM's memory is committed beyond what it has.

  @point2 @point3
  Scenario: Random faults never load what is not granted
    When 100 runs of the "fleet" with seed 1 are tried with mechanism off "none"
    Then no run breaks the oracle

  @point2 @off
  Scenario Outline: The oracle notices when memory is not kept
    When 400 runs of the "fleet" with seed 1 are tried with mechanism off "<mechanism>"
    Then a run breaks the oracle

    Examples:
      | mechanism              |
      | memory is not counted  |

  @point3 @off
  Scenario Outline: The oracle notices when replicas are not kept
    When 400 runs of the "fleet" with seed 1 are tried with mechanism off "<mechanism>"
    Then a run breaks the oracle

    Examples:
      | mechanism                         |
      | unknown orders are forgotten      |
      | release before the unload         |
      | silence counts as proof           |
      | old orders are taken              |
      | an engine restart counts as proof |
