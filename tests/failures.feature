Feature: Failures of processes
  Kills, freezes and stops of real processes keep the promises to callers.

  @point2 @point3
  Scenario Outline: An agent is killed in the middle of a load
    Given an installation with 1 engine "<option>" that loads slowly
    When a request waits for cold model "alloy" and the agent is killed in the middle of the load and started again
    Then the request is answered
    And the engine held at most its memory and one replica of "alloy"

    Examples:
      | option          |
      | --checks-fence  |
      | --capacity=16   |

  @point3
  Scenario: A second agent for a VM does not start
    Given an installation with 1 engine and 0 services
    When a second agent is started on the VM of engine 1
    Then it ends with an error and the first goes on

  @point4 @point5
  Scenario: An agent freezes with requests on their way
    Given an installation with 1 engine and 1 service
    When the agent of the service freezes and a hold is sent that has 2 seconds
    Then the hold is answered in time
    When the agent wakes
    Then what was told "not run" did not run

  @point6
  Scenario: An entry is killed while it holds a call that must not run twice
    Given an installation with 0 engines and 1 service whose calls take 300 ms
    When entry 1 is killed in the middle of hold "dress" and the hold is resent to entry 2
    Then the service ran the hold once at most and the caller is told the truth

  @point7
  Scenario: An engine dies in the middle of a streamed answer
    Given an installation with 1 engine and 0 services
    When the engine dies in the middle of a stream of 500 tokens
    Then the stream ends in an error event and never in "[DONE]"

  @point8
  Scenario: A drained VM gets no new work
    Given an installation with 2 engines and 0 services
    When the VM that serves "alloy" is drained under load
    Then no request fails and the drained engine runs nothing 4 seconds later

  @point9
  Scenario: All processes are restarted one by one under load
    Given an installation with 2 engines and 1 service
    When every daemon is stopped as planned and started again while holds and streams go on
    Then no request in progress was cut off

  @point9
  Scenario: A second interrupt ends a stream with an honest answer
    Given an installation with 1 engine and 0 services
    When entry 1 gets SIGINT in the middle of a stream of 8000 tokens, and again 600 ms later
    Then the stream ends in an error event and never in "[DONE]"
    And entry 1 ended with status 0

  # Guards against streams that an entry or an agent cuts because it is told to stop twice.
  @point9
  Scenario Outline: A second stop signal at <process> ends no stream
    Given an installation with 1 engine and 0 services
    When <process> gets SIGTERM in the middle of a stream of 2000 tokens, and again 100 ms later
    Then the request is answered
    And <process> ended with status 0

    Examples:
      | process |
      | entry 1 |
      | agent 1 |

  @point9 @off
  Scenario: Processes that are killed in place of stopped cut requests off
    Given an installation with 2 engines and 1 service
    When every daemon is killed and started again while holds and streams go on
    Then a request in progress was cut off

  Scenario: Teams are apart
    Given an installation with 1 engine and 1 service
    When team "house" is added with its own key
    Then team "house" can neither see nor use what belongs to team "mill"
    And the same idempotency key of both teams names two requests
