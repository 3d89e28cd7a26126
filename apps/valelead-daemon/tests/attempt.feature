Feature: Frames of an answer
  An answer is passed on as whole only if every frame of this attempt came in order and the counts agree.

  @point7
  Scenario Outline: An answer that is not whole is not passed on as whole
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
