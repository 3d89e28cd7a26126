Feature: What a caller is told whose model is loaded only after it has left
  Callers come back once, after the Retry-After time that they are given, but after a third of the time that they have left at most.

  # Guards against a Retry-After time that callers do not respect, and against callers that come back only to be refused again.
  Scenario Outline: The Retry-After time is one at which the load serves the returned caller
    When a load is forecast in <forecast> ms for a caller with a deadline in <deadline> ms that waits for <patience> ms
    Then the caller is told to return after <told> ms
    And it is expected after <returns> ms and leaves after <leaves> ms

    Examples:
      | forecast | deadline | patience | told  | returns | leaves |
      | 13200    | 15000    | 10000    | 5000  | 5000    | 15000  |
      | 13200    | 24000    | 8000     | 8000  | 8000    | 16000  |
      | 4000     | 20000    | 3000     | 4000  | 4000    | 7000   |
      | 33400    | 15000    | 10000    | 33400 | 5000    | 15000  |
      | 13200    | 18000    | 4000     | 13200 | 6000    | 10000  |
      | 13200    | -10      | 4000     | 13200 | 0       | -10    |

  # Guards against a forecast that counts the loads from copies which a fetch displaces, which refused callers for whom the fetch was in time.
  Scenario Outline: A fetch is forecast with its duration and the loads before it
    Given an engine with "<source>", copies of other models, <busy> ms of a load in progress and <queue> ms of queued loads
    When the model takes 10000 ms from the store, 800 ms from disk and 500 ms from memory
    Then it is forecast in <forecast> ms

    Examples:
      | source        | busy | queue | forecast |
      | no copy       | 0    | 0     | 10000    |
      | no copy       | 500  | 1500  | 11500    |
      | a disk copy   | 500  | 1500  | 1300     |
      | a memory copy | 500  | 1500  | 1000     |
