Feature: Admission
  A team that floods an entry does not delay other teams, and requests that cannot be served in time are refused at once.

  Scenario: A flooding team does not delay another team
    Given an entry whose only upstream gives 1 credit at a time
    When team "flood" has 200 requests waiting and team "quiet" sends 5
    Then the 5 requests of team "quiet" are among the first 11 dispatched

  Scenario: Dispatches are divided between teams in proportion to their weights
    Given an entry whose only upstream gives 1 credit at a time
    When teams "heavy" of weight 3 and "light" of weight 1 each have 40 requests waiting
    Then of the first 20 dispatched 15 are of team "heavy", give or take 1

  Scenario: Requests beyond the limit of a queue are refused at once
    Given an entry whose only upstream gives 1 credit at a time
    When team "flood" has 600 requests waiting and team "quiet" sends 0
    Then 100 of them were refused at once with code 2003 and a Retry-After time

  Scenario: A failing upstream gets few probe requests
    Given an entry whose only upstream gives 1 credit at a time
    When the upstream fails 30 repeatable requests in a row
    Then the upstream was tried at most 8 times in 2 seconds
