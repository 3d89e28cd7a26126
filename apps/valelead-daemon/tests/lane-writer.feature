Feature: Writing a response to an entry
  Frames of a response whose entry is gone are discarded, so that the attempt still ends when the upstream has finished.

  # Guards against an agent that counts an attempt as in progress forever, and waits for it when the agent is stopped.
  Scenario: Writing frames to a lane that has ended does not block
    When 3 frames are written one after the other to a lane that has ended
    Then all 3 writes completed within 200 ms
