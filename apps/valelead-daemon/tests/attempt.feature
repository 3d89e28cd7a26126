Feature: Frames of an answer
  A response is forwarded as complete only if all frames of the attempt arrived in order and its frame and byte counts match.

  @point7
  Scenario Outline: An incomplete response is not forwarded as complete
    When an agent answers an attempt with frames "<frames>"
    Then the attempt ends as "<end>"

    Examples:
      | frames                         | end     |
      | start data data end            | whole   |
      | start data end-of-two          | 3005    |
      | start gap data end             | 3005    |
      | start foreign data end         | 3005    |
      | start data                     | 3005    |
      | refusal                        | 3001    |
