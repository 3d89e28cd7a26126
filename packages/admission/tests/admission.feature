Feature: Admission
  No team takes another's time by flooding, and what cannot be served in time is refused at once.

  Scenario: A flooding team does not hold up another
    Given an entry whose only upstream gives 1 credit at a time
    When team "flood" has 200 requests waiting and team "quiet" sends 5
    Then the 5 requests of team "quiet" are among the first 11 dispatched

  Scenario: Weights divide the service
    Given an entry whose only upstream gives 1 credit at a time
    When teams "heavy" of weight 3 and "light" of weight 1 each have 40 requests waiting
    Then of the first 20 dispatched 15 are of team "heavy", give or take 1

  Scenario: A full queue is refused at once
    Given an entry whose only upstream gives 1 credit at a time
    When team "flood" has 600 requests waiting and team "quiet" sends 0
    Then 100 of them were refused at once with code 2003 and a time to come back

  Scenario: A failing upstream gets few probes
    Given an entry whose only upstream gives 1 credit at a time
    When the upstream fails 30 repeatable requests in a row
    Then it was tried at most 8 times in 2 seconds
