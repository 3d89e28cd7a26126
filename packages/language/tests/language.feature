Feature: The operators' language
  Statements become typed commands; errors point at the column and say what was expected.

  Scenario: Every kind of change is parsed into its command
    Then each kind of change has an example that becomes its command

  Scenario Outline: Errors point at the column
    When "<text>" is parsed
    Then it fails at column <column> and expects "<expected>"

    Examples:
      | text                          | column | expected              |
      | creat team x                  | 1      | one of alter, create  |
      | create house x                | 8      | one of                |
      | create team x color 3         | 15     | one of weight         |
      | create model m memory 16      | 23     | such as 16GiB         |
      | create adapter a memory 1GiB  | 16     | the model             |
      | show houses                   | 6      | one of teams          |
      | show teams where              | 17     | a name                |
      | drop team x weight 2          | 13     | the end               |

  Scenario: Listings are filtered, ordered and cut
    When "show models where replicas >= 1 and name != c order by replicas desc, name limit 2" is asked of rows "a 1, b 2, c 3, d 2"
    Then the rows are "b,d"
