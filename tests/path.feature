Feature: The whole path
  A request goes through real processes to an upstream that had its model cold, and comes back whole.

  Background:
    Given an installation with 2 engines and 1 service

  Scenario: A streamed completion from a cold model
    When team "mill" asks entry 1 for 6 tokens of cold model "alloy" as a stream
    Then the answer is whole and holds 6 tokens

  Scenario: A whole completion through an adapter
    When team "mill" asks entry 2 for 5 tokens of adapter "alloy:bronze" as one piece
    Then the answer is whole and holds 5 tokens

  Scenario: A hold that is resent through another entry runs once
    When team "mill" sends hold "dress-1" to entry 1 and again to entry 2
    Then both answers are the same and the service ran it once

  Scenario: A refusal is numbered and says that the request did not run
    When team "mill" asks entry 1 for 5 tokens of adapter "alloy:unknown" as one piece
    Then the answer is refused with code 1003 and outcome "not_run"
