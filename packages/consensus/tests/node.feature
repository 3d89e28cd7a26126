Feature: A voter and its surroundings
  A disk that refuses writes silences a voter for as long as it does; a voter that is gone does not stay in the way.

  Scenario: Nothing is acknowledged while the disk refuses writes, and all is once it takes them again
    Given a voter that forms a quorum of its own
    When its disk refuses the next 2 writes and a command is proposed
    Then the command is not acknowledged before the disk has taken it
    And the command is applied once

  Scenario Outline: A silent voter is let go only where the others are better off
    Given a leader with <voters> voters and <learners> learner, of which "<silent>" was silent for long
    Then <kept> members are kept where <losses> losses must be borne

    Examples:
      | voters | learners | silent    | losses | kept |
      | 4      | 0        | a voter   | 1      | 3    |
      | 3      | 0        | a voter   | 1      | 3    |
      | 5      | 0        | a voter   | 1      | 5    |
      | 6      | 0        | a voter   | 1      | 5    |
      | 3      | 1        | a learner | 1      | 3    |
      | 4      | 0        | nobody    | 1      | 4    |
      | 6      | 0        | a voter   | 2      | 5    |
      | 4      | 0        | a voter   | 2      | 4    |
      | 5      | 0        | a voter   | 2      | 5    |
      | 8      | 0        | a voter   | 2      | 7    |
      | 6      | 1        | a learner | 2      | 6    |

  Scenario: A lease from before a restart is honoured from the start of the process on, and no longer
    Then a voter whose process started at 0 ms grants a vote that is asked for at 40 ms: no
    And a voter whose process started at 0 ms grants a vote that is asked for at 60 ms: yes

  Scenario Outline: A quorum is formed by those that can vote, once all that the settings name were reached and tell the same
    Given settings that name <named> controllers, and a voter "b" among them that looks for the others
    When it reaches "<voters>" without a quorum that would form "<told>", "<standbys>" without a disk and "<formed>" with a quorum that counts "<counted>"
    Then it is to <decision>

    Examples:
      | named | voters | told    | standbys | formed | counted | decision     |
      | 3     | a, c   | a, b, c |          |        |         | form a, b, c |
      | 3     | a, c   |         |          |        |         | wait         |
      | 3     | a, c   | a, c, d |          |        |         | wait         |
      | 3     | a, c   | a, b    |          |        |         | wait         |
      | 3     | a      | a, b    | s        |        |         | form a, b    |
      | 3     | a      | a, b    |          |        |         | wait         |
      | 3     |        |         | s        |        |         | wait         |
      | 3     |        |         | s        | c      | a, c    | join         |
      | 3     | a      | a, b    | s        | c      | c       | join         |
      | 3     |        |         | s, t     | c      | a, c    | join         |
      | 3     |        |         |          | c      | a, c    | join         |
      | 3     |        |         | s        | c      | b, c    | form b, c    |
      | 3     | a      | a, b    |          | c      |         | wait         |
