Feature: The order of loads by what their requests lose by waiting
  A request of a low rank can wait longer, and weighs less. It goes before late requests of a high rank, which lose nothing more, when it would become
  late itself.

  # Guards against requests of the lowest rank that become late behind requests which are late anyway.
  Scenario Outline: The load that loses most by waiting comes first
    Given loads of 700 ms for requests
      | model   | count | rank | due        | leaves |
      | routine | 3     | 0    | <due>      | 4000   |
      | rare    | 1     | 2    | <rare due> | 10000  |
    Then the loads are ordered "<order>"
    And without urgency they are ordered "routine, rare"

    Examples:
      | due  | rare due | order         |
      | -500 | 1000     | rare, routine |
      | -500 | 4000     | routine, rare |
      | -500 | 500      | routine, rare |
      | 1000 | 1000     | routine, rare |

  Scenario: The models of a burst are loaded in the order in which most requests are in time, with many requests to one load
    Given loads of 700 ms for requests
      | model | count | rank | due  | leaves |
      | a     | 1     | 2    | 2600 | 9000   |
      | b     | 1     | 2    | 900  | 9000   |
      | c     | 3     | 2    | 5000 | 9000   |
      | d     | 1     | 2    | 1800 | 9000   |
    When the engine loads one model after the other
    Then all 6 requests are in time

  # Guards against the loss of the mark when the needs of several gateways are added up.
  Scenario: The sum of the needs of a new and an older gateway is ordered by urgency
    Given loads of 700 ms for requests
      | model   | count | rank | due  | leaves |
      | routine | 3     | 0    | -500 | 4000   |
      | rare    | 1     | 2    | 1000 | 10000  |
    When an older gateway needs "rare" too
    Then the loads are ordered "rare, routine"
