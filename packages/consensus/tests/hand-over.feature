Feature: Leadership transfer
  # Failure, found by review: a planned stop of the leader could transfer leadership to a voter that has failed; the quorum then has no leader for
  # two election timeouts.
  # Cause: the target was chosen only by how much of the log it has, not by whether it is reachable. A voter that failed after the last commit has
  # as many entries as the others, and the first one in the list was chosen.
  # Evidence: the message that starts the transfer is sent to the failed voter.
  Scenario Outline: A planned stop transfers leadership to a reachable voter
    Given a leader "a" with voters "b c", all of which have the whole log
    When "<gone>" are unreachable for <ms> ms and the leader transfers leadership
    Then the voter that is asked to become leader is "<asked>"

    Examples:
      | gone | ms  | asked  |
      |      | 400 | b      |
      | b    | 400 | c      |
      | c    | 400 | b      |
      | b c  | 400 | nobody |
