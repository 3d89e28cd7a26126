Feature: Writing an answer to an entry
  An answer whose entry is gone is written into nothing, so that its attempt ends with the upstream's work.

  # Guards against an agent that keeps a place for an attempt forever, and waits for it when it is told to stop.
  Scenario: Frames for a lane that has ended hold nothing up
    When 3 frames are written one after the other to a lane that has ended
    Then all 3 were taken within 200 ms
