Feature: Stall detection
  When a stalled process continues, its timers fire before its sockets are read, so the input that it reads then may be stale.

  # Guards against treating input that was buffered in sockets during a stall as current, if the process gets little processor time afterwards.
  Scenario: A process has caught up after its timers have fired several times, however long that takes
    Given a process whose timers fire on time
    Then its input is current
    When no timer fires for 1500 ms
    Then its input may be stale
    When a timer fires
    And no timer fires for 150 ms
    Then its input may be stale
    When timers fire on time 3 times
    Then its input is current

  # Guards against decisions on what lies unread after a stall, and against decisions that are put off for ever in a process that gets little processor time.
  Scenario: The input of a stall counts as read after two iterations of the event loop, also where timers are late again
    Given a process whose timers fire on time
    Then its input has been read
    When no timer fires for 1500 ms
    Then its input may lie unread
    When a timer fires 2 times, each after 300 ms, and what has arrived is read each time
    Then its input has been read
    And it was told so 2 times
