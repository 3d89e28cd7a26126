Feature: Estimated concurrency limit of the weight store
  Rarely used models of which no engine has a copy are fetched from a weight store. The store serves a limited number of concurrent fetches at full
  speed and slows all of them beyond that limit, which no configuration states. An engine loads nothing else during a slow fetch, so that the copies
  which only this engine has cannot be used.

  Scenario Outline: The limit is learned from the duration of fetches
    Given a weight store that serves <limit> concurrent fetches of 10 s at full speed
    When engines fetch up to the estimated limit for <seconds> seconds
    Then the estimated limit is between <least> and <most> at the end
    And the store has used at least <share> of its capacity

    Examples:
      | limit | seconds | least | most | share |
      | 1     | 120     | 1     | 2    | 0.9   |
      | 2     | 120     | 2     | 3    | 0.9   |
      | 4     | 120     | 4     | 5    | 0.9   |
      | 19    | 300     | 19    | 21   | 0.7   |

  Scenario: The estimated limit rises with a store that becomes faster and falls with one that becomes slower
    Given a weight store that serves 2 concurrent fetches of 10 s at full speed
    When engines fetch up to the estimated limit for 60 seconds
    And the store now serves 6 concurrent fetches at full speed
    And engines fetch up to the estimated limit for 120 seconds
    Then the estimated limit is between 6 and 7 at the end
    When the store now serves 1 concurrent fetches at full speed
    And engines fetch up to the estimated limit for 120 seconds
    Then the estimated limit is between 1 and 2 at the end

  Scenario: Fetches that busy engines prolong slightly do not lower the estimated limit
    Given a weight store that serves 8 concurrent fetches of 10 s at full speed, on engines that take 1.2 times as long
    When engines fetch up to the estimated limit for 120 seconds
    Then the estimated limit is between 8 and 9 at the end
