Feature: Who may form a quorum
  A second quorum must never be formed, and an installation whose first start was disturbed must form its first one.

  # Guards against a second quorum: voters whose disks were lost, or that the first settings did not name, cannot tell whether there is one.
  Scenario Outline: A quorum <is formed> <when>
    Given a voter "a" whose first settings named "<founders>" and whose present settings name "<configured>"
    And the first start of the installation <start>
    When it finds <peers>, which would form the same quorum
    Then a quorum <is formed>

    Examples:
      | founders | configured | start   | peers                           | is formed     | when                                              |
      | a, b, c  | a, b, c    | goes on | founders "b, c"                 | is formed     | at the first start                                |
      | a, b, c  | a, b, c    | is over | founders "b, c"                 | is formed     | by all voters of a first start that was disturbed |
      | a, b, c  | a, b, c    | goes on | founder "b" and another "c"     | is formed     | at the first start with a voter that started again |
      | a, b, c  | a, b, c    | is over | founder "b" and another "c"     | is not formed | with a voter that has lost its disk               |
      | a, b, c  | a, b, c    | is over | founder "b" and diskless "c"    | is formed     | beside a controller without a disk                |
      | a, b, c  | a, b, d    | is over | founders "b, d"                 | is not formed | after the settings have changed                   |
      | a, b, c  | a, b       | is over | founders "b"                    | is not formed | with fewer voters than at the first start         |
      | a, b, c  | a          | is over | nobody                          | is not formed | by one of several founders alone                  |
      |          | a, b, c    | is over | founders "b, c"                 | is not formed | by a voter that has lost its disk                 |
      | a, b, c  | b, c, d    | is over | founders "b, c"                 | is not formed | by a voter that the settings do not name          |
