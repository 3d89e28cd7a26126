Feature: Events of a stream
  A stream that breaks goes on at another upstream after its last whole event, however its lines end and its bytes come.

  # Guards against an event that is cut, doubled or left out where a line's end, a byte order mark or an id is split over two reads.
  Scenario: A stream is cut into the same events wherever its bytes are split
    When random streams come in random pieces
    Then each whole event is passed on once, in order, and what is left is the unfinished one
    And the last id is that of the last whole event that has one

  # Guards against an answer that is whole by one sign and broken off by another.
  Scenario Outline: A <framing> answer that is <completeness> and ended <place> has the defect "<defect>"
    When an answer's framing is "<framing>", it is "<completeness>", and it ended "<place>"
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
