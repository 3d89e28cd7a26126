Feature: Splitting a stream into events
  A stream that breaks is resumed on another upstream after its last complete event, whatever its line ends and however its bytes arrive.

  # Guards against truncating, repeating or dropping an event if a line end, a byte order mark or an id is split over two reads.
  Scenario: A stream yields the same events however its bytes are split into chunks
    When random streams arrive in chunks of random sizes
    Then each complete event is passed on once, in order, and only the incomplete event remains
    And the last event id is that of the last complete event with an id

  # Guards against accepting a response as complete by one criterion although it is truncated by another.
  Scenario Outline: A <framing> response that is <completeness> and ended <place> has the defect "<defect>"
    When a response's framing is "<framing>", it is "<completeness>", and it ended "<place>"
    Then its defect is "<defect>"

    Examples:
      | framing    | completeness            | place                   | defect      |
      | length     | incomplete              | outside an event        | Incomplete  |
      | chunks     | complete                | outside an event        | none        |
      | chunks     | complete                | inside an event         | InsideEvent |
      | chunks     | complete                | before the first event  | none        |
      | connection | complete                | outside an event        | none        |
      | connection | complete                | inside an event         | InsideEvent |
      | connection | complete                | before the first event  | NoEvent     |
      | connection | complete                | as no stream            | none        |
      | connection | ended in the same turn  | outside an event        | Reset       |
      | connection | ended in the same turn  | as no stream            | Reset       |
      | bodyless   | ended in the same turn  | as no stream            | none        |
