Feature: Elections
  # Seen: after the loss of a leader nobody led for a third longer than an election takes, most of all where others were lost with it.
  # Came about: the voters that were left stood for election at the same moment, so that each voted for itself; with six voters, two of them lost, all
  # four that are left have to vote alike.
  # Cause: the first election fell due a fixed time after the leader's last word, which all heard together; only later ones were spread.
  # Proof: over the seeds the mean is a whole further election above the time that one takes; with the first one spread it is not.
  Scenario Outline: The voters that are left agree on a leader soon
    Then after <dead> of <voters> voters were lost a leader is found within 950 ms in the mean of 400 seeds

    Examples:
      | voters | dead |
      | 3      | 1    |
      | 5      | 2    |
      | 6      | 2    |
      | 8      | 2    |
