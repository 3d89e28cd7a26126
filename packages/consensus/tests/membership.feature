Feature: Membership
  Voters leave and join one at a time while others are lost.

  Scenario Outline: A voter that was let go is safe to take back with its disk
    Then in 100 quorums of <voters> voters one that was let go while it was down follows again, and nothing acknowledged is undone

    Examples:
      | voters |
      | 4      |
      | 6      |
      | 8      |

  # Seen: a controller with an empty disk was let in, was let go as silent 33 ms later, and was let in again 0.3 s after that.
  # Came about: the leader looked for silent members before the learner's first answer had come, which a slow disk or a large snapshot delays.
  # Cause: a member that has not answered yet counted as silent since the leader took office, however long ago that was.
  # Proof: the leader's log names the learner as silent; counted from its joining, it stays until it was silent for 2 s.
  Scenario: A learner has time to answer
    Given a leader that has led 3 voters for 60000 ms
    When a learner joins
    Then 300 ms later nobody is let go as silent for 2000 ms
    And 1900 ms later nobody is let go as silent for 2000 ms
    And 2100 ms later the learner is let go as silent for 2000 ms
