Feature: Requests
  Every request is served or refused in its time, each answer is the request's own, and what must not run twice does not.

  @point4 @point5 @point6 @point7 @point8
  Scenario: Random faults never break a promise to a caller
    When 300 runs of the "requests" with seed 1 are tried with mechanism off "none"
    Then no run breaks the oracle

  @point4 @off
  Scenario: The oracle notices unwatched deadlines
    When 400 runs of the "requests" with seed 1 are tried with mechanism off "deadlines are not watched"
    Then a run breaks the oracle

  @point5 @off
  Scenario Outline: The oracle notices false words of "not run"
    When 400 runs of the "requests" with seed 1 are tried with mechanism off "<mechanism>"
    Then a run breaks the oracle

    Examples:
      | mechanism                        |
      | lost dispatches are not withdrawn |
      | refusals count as not run        |

  @point6 @off
  Scenario Outline: The oracle notices calls that run twice
    When 400 runs of the "requests" with seed 1 are tried with mechanism off "<mechanism>"
    Then a run breaks the oracle

    Examples:
      | mechanism                     |
      | no claim is made              |
      | unknown outcomes are retried  |

  @point7 @off
  Scenario: The oracle notices answers of ended attempts
    When 400 runs of the "requests" with seed 1 are tried with mechanism off "late answers are taken"
    Then a run breaks the oracle

  @point8 @off
  Scenario: The oracle notices work for a drained upstream
    When 400 runs of the "requests" with seed 1 are tried with mechanism off "configuration never ages"
    Then a run breaks the oracle
