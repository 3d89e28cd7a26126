Feature: Membership
  Voters leave and join one at a time while others are lost.

  Scenario Outline: A voter that was let go is safe to take back with its disk
    Then in 100 quorums of <voters> voters one that was let go while it was down follows again, and nothing acknowledged is undone

    Examples:
      | voters |
      | 4      |
      | 6      |
      | 8      |
