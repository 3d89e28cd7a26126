Feature: Order by the latest start
  Under scarcity, waiting requests are dispatched by the time at which they must start to meet their latency objectives, over all models of an engine.

  # Guards against less urgent requests that get nothing while more urgent ones exceed the capacity, although they have waited for long.
  Scenario: Each kind of request gets a similar share of its demand if the capacity does not suffice
    Given an engine with 4 slots, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 0    | 1000      | 4000     | 10         |
      | rare    |      | a     | 2    | 5000      | 20000    | 2          |
    When they arrive for 60 s
    Then at least 70 of 100 requests of kind "routine" are in time
    And at least 70 of 100 requests of kind "rare" are in time
    And requests of kind "routine" are in time as often as those of kind "rare", give or take 10 of 100

  # Guards against urgent requests with a short objective that are late, while less urgent ones are in time, under an excess of a third.
  Scenario: Urgent requests with a short objective are in time as often as less urgent ones under an excess of a third
    Given an engine with 4 slots, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 0    | 308       | 2400     | 11         |
      | rare    |      | a     | 2    | 2508      | 10000    | 2          |
    When they arrive for 30 s
    Then requests of kind "routine" are in time as often as those of kind "rare", give or take 10 of 100

  # Guards against urgent requests that wait for others with time to spare.
  Scenario: A burst of requests that can wait delays no urgent request
    Given an engine with 4 slots, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 2    | 600       | 2400     | 6          |
      | rare    |      | a     | 0    | 20000     | 80000    | 10         |
    When they arrive for 10 s
    Then at least 99 of 100 requests of kind "routine" are in time
    And at least 99 of 100 requests of kind "rare" are in time

  # Guards against a team whose flood fills the queue with due requests.
  Scenario: A team that sends many times its usual rate takes no time from another team
    Given an engine with 4 slots, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind  | team  | model | rank | objective | patience | per second |
      | flood | large | a     | 0    | 1000      | 4000     | 36         |
      | quiet | small | a     | 0    | 1000      | 4000     | 3          |
    When they arrive for 11 s
    Then at least 97 of 100 requests of kind "quiet" are in time

  # Guards against less urgent requests that get nothing while more urgent ones exceed the capacity, although they have waited for long.
  Scenario: Each kind of request gets a similar share of its demand with balanced classes
    Given an engine with 4 slots and balanced classes, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 0    | 1000      | 4000     | 10         |
      | rare    |      | a     | 2    | 5000      | 20000    | 2          |
    When they arrive for 60 s
    Then at least 70 of 100 requests of kind "routine" are in time
    And at least 70 of 100 requests of kind "rare" are in time
    And requests of kind "routine" are in time as often as those of kind "rare", give or take 10 of 100

  # Guards against urgent requests with a short objective that are late, while less urgent ones are in time, under an excess of a third.
  Scenario: Urgent requests with a short objective are in time as often as less urgent ones with balanced classes under an excess of a third
    Given an engine with 4 slots and balanced classes, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 0    | 308       | 2400     | 11         |
      | rare    |      | a     | 2    | 2508      | 10000    | 2          |
    When they arrive for 30 s
    Then requests of kind "routine" are in time as often as those of kind "rare", give or take 10 of 100

  # Guards against urgent requests that wait for others with time to spare.
  Scenario: A burst of requests that can wait delays no urgent request with balanced classes
    Given an engine with 4 slots and balanced classes, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 2    | 600       | 2400     | 6          |
      | rare    |      | a     | 0    | 20000     | 80000    | 10         |
    When they arrive for 10 s
    Then at least 99 of 100 requests of kind "routine" are in time
    And at least 99 of 100 requests of kind "rare" are in time

  # Guards against a team whose flood fills the queue with due requests.
  Scenario: A team that sends many times its usual rate takes no time from another team with balanced classes
    Given an engine with 4 slots and balanced classes, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind  | team  | model | rank | objective | patience | per second |
      | flood | large | a     | 0    | 1000      | 4000     | 36         |
      | quiet | small | a     | 0    | 1000      | 4000     | 3          |
    When they arrive for 11 s
    Then at least 97 of 100 requests of kind "quiet" are in time

  # Guards against a model whose queue never empties and takes every slot of an engine that has several models loaded.
  Scenario: Requests for two models of an engine are dispatched in one order
    Given an engine with 4 slots, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind | team | model | rank | objective | patience | per second |
      | busy |      | a     | 0    | 1000      | 4000     | 14         |
      | rare |      | b     | 2    | 5000      | 20000    | 1          |
    When they arrive for 30 s
    Then at least 60 of 100 requests of kind "rare" are in time
    And at least 60 of 100 requests of kind "busy" are in time

  # Guards against callers that are held although no response can reach them any more.
  Scenario: A request that cannot be answered before its caller leaves is refused at once
    Given an engine with 1 slot, whose responses begin after 300 ms and end after 3000 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 0    | 1000      | 2000     | 2          |
    When they arrive for 20 s
    Then some requests are refused, all as not run and with code 2004, and at least 250 ms before their callers leave
    And no caller leaves before its request is answered or refused

  # Guards against refusals for ever: a class whose requests are all refused gets no new measurements.
  Scenario: Response times measured in a congestion do not refuse requests for longer than two windows
    Given an engine with 1 slot, whose responses begin after 300 ms and end after 3000 ms
    And a response of kind "routine" that began 3000 ms after its dispatch
    When a request of kind "routine" with a patience of 2000 ms arrives 1000 ms later
    Then the last request is refused with code 2004
    When a request of kind "routine" with a patience of 2000 ms arrives 8000 ms later
    Then the last request is dispatched

  # Guards against a broken answer: a stream that is continued has missed its objective, and would go behind all others.
  Scenario: A stream that broke goes before requests that must begin soon, and is not refused
    Given an engine with 1 slot, whose responses begin after 100 ms and end after 400 ms
    When a resumable stream breaks after 1500 ms, while requests wait that are due
    Then the next request that is dispatched is the stream

  # Guards against a change of order where no objective is at risk. 200 random queues.
  Scenario: Where nothing waits long, the order is that without latest starts
    When random requests for one model wait that all have 10 s or more until they are due
    Then they are dispatched in the same order with and without latest starts

  # Guards against an operator who cannot tell why a request was late, and what went before it.
  Scenario: Requests that are dispatched after their latest start state what went before them
    Given an engine with 4 slots, whose responses begin after 100 ms and end after 400 ms
    And these kinds of requests
      | kind    | team | model | rank | objective | patience | per second |
      | routine |      | a     | 0    | 308       | 2400     | 11         |
      | rare    |      | a     | 2    | 2508      | 10000    | 2          |
    When they arrive for 10 s
    Then each request states its wait once, and those that were overdue or refused what was dispatched meanwhile
