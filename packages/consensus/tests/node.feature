Feature: Failing disks and silent voters
  A voter stops responding while its disk refuses writes. A voter that stays silent is removed if the others tolerate as many losses without it.

  Scenario: A command is acknowledged only once the disk accepts writes again
    Given a voter that is the only member of its quorum
    When its disk refuses the next 2 writes and a command is proposed
    Then the command is not acknowledged before the disk has stored it
    And the command is applied once

  Scenario Outline: A silent voter is removed only if the others tolerate as many losses without it
    Given a leader with <voters> voters and <learners> learner, of which "<silent>" has been silent for long
    Then <kept> members are kept if <losses> losses must be tolerated

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

  Scenario: A lease granted before a restart is honoured for one election timeout from the start of the process
    Then a voter whose process started at 0 ms grants a vote that is requested at 40 ms: no
    And a voter whose process started at 0 ms grants a vote that is requested at 60 ms: yes

  Scenario Outline: The controllers that can vote form a quorum once all configured controllers were reached and propose the same voters
    Given settings that name <named> controllers, and a voter "b" among them that queries the others
    When it reaches "<voters>" without a quorum that propose "<proposal>", "<standbys>" without a disk and "<formed>" with a quorum of "<counted>"
    Then its decision is to <decision>

    Examples:
      | named | voters | proposal | standbys | formed | counted | decision     |
      | 3     | a, c   | a, b, c  |          |        |         | form a, b, c |
      | 3     | a, c   |          |          |        |         | wait         |
      | 3     | a, c   | a, c, d  |          |        |         | wait         |
      | 3     | a, c   | a, b     |          |        |         | wait         |
      | 3     | a      | a, b     | s        |        |         | form a, b    |
      | 3     | a      | a, b     |          |        |         | wait         |
      | 3     |        |          | s        |        |         | wait         |
      | 3     |        |          | s        | c      | a, c    | join         |
      | 3     | a      | a, b     | s        | c      | c       | join         |
      | 3     |        |          | s, t     | c      | a, c    | join         |
      | 3     |        |          |          | c      | a, c    | join         |
      | 3     |        |          | s        | c      | b, c    | form b, c    |
      | 3     | a      | a, b     |          | c      |         | wait         |
