Feature: Hand-over
  # Seen by reading: a planned stop of the leader could hand over to a voter that is gone; nobody leads for two election timeouts then.
  # Came about: a voter that died since the last commit has followed as far as the others, and the first in the list was taken.
  # Cause: only how far a voter has followed was looked at, not whether it is heard.
  # Proof: the message that asks to take over goes to the voter that is gone.
  Scenario Outline: A planned stop hands over to a voter that is heard
    Given a leader "a" with voters "b c", all of which have followed as far
    When "<gone>" are gone for <ms> ms and the leader hands over
    Then the voter that is asked to take over is "<asked>"

    Examples:
      | gone | ms  | asked  |
      |      | 400 | b      |
      | b    | 400 | c      |
      | c    | 400 | b      |
      | b c  | 400 | nobody |
