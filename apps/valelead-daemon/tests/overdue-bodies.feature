Feature: Bodies that are not complete in time
  # Guards against a request that is refused up to 250 ms after its time, as bodies were looked at in intervals.
  Scenario Outline: A body that does not end is given up when the time of its request ends
    Given <bodies> bodies that must be complete after <limit> ms
    When their callers send <parts> parts <period> ms apart and do not end them
    Then each was refused as not run at <limit> ms, and no body is held

    Examples:
      | bodies | limit | parts | period |
      | 1      | 3000  | 1     | 0      |
      | 1      | 10    | 1     | 0      |
      | 3      | 1007  | 20    | 40     |
      | 50     | 249   | 5     | 10     |

  # Guards against buffers of given-up bodies that stay beside the bodies that are held, as they occupy no memory of the heap.
  Scenario Outline: The buffers of given-up bodies are collected once they exceed the memory for bodies
    Given 10 bodies that must be complete after 1000 ms
    When <callers> of their callers send 1000000 bytes each and do not end them
    Then garbage was collected <collections> times

    Examples:
      | callers | collections |
      | 9       | 0           |
      | 10      | 1           |

  Scenario: A body that ends before its time is not given up later
    Given 1 bodies that must be complete after 1000 ms
    When their callers send 3 parts 100 ms apart and end them
    Then each is held until it is released
