Feature: A process that stands still
  Its timers fire before its sockets are read when it goes on, so what it takes then may be old.

  # Guards against: what lay in sockets during a stall, taken for news as the process gets little processor time after it.
  Scenario: A process has caught up once its timers have fired some times, however long that takes
    Given a process whose timers fire on time
    Then what it takes is news
    When no timer fires for 1500 ms
    Then what it takes may be old
    When a timer fires
    And no timer fires for 150 ms
    Then what it takes may be old
    When timers fire on time 3 times
    Then what it takes is news
