Feature: Keys of teams
  Each key belongs to exactly one team, and only the digest of a key is stored.

  Scenario: A key is resolved to its team
    Given team "foundry" with keys "a1, a2" and team "mill" with keys "b1"
    Then key "a2" belongs to team "foundry" and key "b1" to team "mill"
    And keys "a, A2, a1 , a1;a2" belong to no team
    And the table holds none of the keys in plain text

  Scenario Outline: Invalid keys and team names are rejected
    Given team "foundry" with keys "<first>" and team "<name>" with keys "<second>"
    Then the fault of team "<name>" says "<reason>", and names no key

    Examples:
      | first  | name    | second | reason                            |
      | a1, a2 | mill    | b1, a2 | a key is also a key of team foundry |
      | a1     | mill    | b1, b1 | a key stands twice                |
      | a1     | mill    | b1,    | a key is empty                    |
      | a1     | foundry | b1     | another team has the same name    |
