Feature: The operator language
  Statements are parsed into typed commands. Syntax errors name the column and the expected input.

  Scenario: Each type of statement is parsed into its command
    Then an example of each type of statement is parsed into its command

  Scenario Outline: Syntax errors name the column and the expected input
    When "<text>" is parsed
    Then parsing fails at column <column> and the message contains "<expected>"

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

  Scenario: Listings are filtered, sorted and limited
    When "show models where replicas >= 1 and name != c order by replicas desc, name limit 2" is evaluated on the rows "a 1, b 2, c 3, d 2"
    Then the resulting rows are "b,d"
