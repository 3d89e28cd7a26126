Feature: Membership
  Voters are removed and added one at a time while others fail.

  Scenario Outline: A removed voter can safely rejoin with its old disk
    Then in 100 quorums of <voters> voters a voter that was removed while it was down follows again, and no acknowledged command is undone

    Examples:
      | voters |
      | 4      |
      | 6      |
      | 8      |

  # Failure: a controller with an empty disk was admitted, was removed as silent 33 ms later, and was admitted again 0.3 s after that.
  # Cause: a member that had not replied yet counted as silent since the start of the leader's term, however long ago that was. The leader looked
  # for silent members before the learner's first reply had arrived, which a slow disk or a large snapshot delays.
  # Evidence: the leader's log names the learner as silent; counted from its joining, the learner stays until it has been silent for 2 s.
  Scenario: A learner has time to reply
    Given a leader that has led 3 voters for 60000 ms
    When a learner joins
    Then 300 ms later nobody is removed as silent for 2000 ms
    And 1900 ms later nobody is removed as silent for 2000 ms
    And 2100 ms later the learner is removed as silent for 2000 ms

  # Voters that lost their disks at the same time are replaced one after the other. The last two columns have one pair for each step, beginning with
  # the loss: the number of further losses that are tolerated, whichever members are lost, and the number of sets of further lost members that leave
  # a majority. The old identity has failed, and the new one is as likely to be lost as any other member.
  Scenario Outline: A lost identity is removed before its replacement votes, which tolerates more losses
    Given <voters> voters of which <lost> have lost their disks at once
    Then these losses are tolerated after each step, old identity leaves first: "<leaves first>", new one votes first: "<votes first>"
    And the order in use is the one in which the old identity leaves first, and it tolerates at least as much after each step

    Examples:
      | voters | lost | leaves first                         | votes first                          |
      | 3      | 1    | 0:1 0:2 0:2 1:4                      | 0:1 0:2 0:1 1:4                      |
      | 4      | 1    | 0:1 0:2 1:8 1:5                      | 0:1 0:2 1:5 1:5                      |
      | 5      | 1    | 1:5 1:10 1:10 2:16                   | 1:5 1:10 1:6 2:16                    |
      | 6      | 1    | 1:6 1:12 2:32 2:22                   | 1:6 1:12 2:22 2:22                   |
      | 8      | 1    | 2:29 2:58 3:128 3:93                 | 2:29 2:58 3:93 3:93                  |
      | 5      | 2    | 0:1 0:2 0:2 1:5 1:10 1:10 2:16       | 0:1 0:2 0:1 1:5 1:10 1:6 2:16        |
      | 6      | 2    | 0:1 0:2 1:10 1:6 1:12 2:32 2:22      | 0:1 0:2 1:6 1:6 1:12 2:22 2:22       |
      | 8      | 2    | 1:7 1:14 2:44 2:29 2:58 3:128 3:93   | 1:7 1:14 2:29 2:29 2:58 3:93 3:93    |

  # This is the reason that an acknowledgement waits for more voters and not for more copies.
  Scenario: With fewer voters than the configured losses require, these losses end the quorum, however many copies exist
    Then up to 4 losses are tolerated by twice as many voters plus one, and by no fewer

  Scenario Outline: An acknowledgement waits for more voters only while they may still join
    Given a leader of <voters> voters, the last of which joined <ms> ms ago
    Then an acknowledgement waits for more voters if <losses> losses must be tolerated: <waits>

    Examples:
      | voters | losses | ms   | waits |
      | 3      | 2      | 100  | yes   |
      | 4      | 2      | 1900 | yes   |
      | 3      | 2      | 2100 | no    |
      | 4      | 2      | 2100 | no    |
      | 5      | 2      | 100  | no    |
      | 3      | 1      | 100  | no    |
      | 1      | 2      | 2100 | no    |

  Scenario Outline: A member that asks to join is admitted step by step
    Given members "<members>", each named by the letter of its VM and a number, with a question mark for learners
    Then when "<asking>" asks to join, caught up: <is caught up>, the next members are "<next>"

    Examples:
      | members     | asking | is caught up | next          |
      | a1 b1 c1    | b1     | yes          | nothing       |
      | a1 b1 c1    | b1     | no           | nothing       |
      | a1 c1       | b1     | no           | a1 c1 b1?     |
      | a1 c1       | b1     | yes          | a1 c1 b1?     |
      | a1 c1 b1?   | b1     | no           | nothing       |
      | a1 c1 b1?   | b1     | yes          | a1 c1 b1      |
      | a1 b1 c1    | b2     | no           | a1 b1 c1 b2?  |
      | a1 b1 c1 b2? | b2    | no           | nothing       |
      | a1 b1 c1 b2? | b2    | yes          | a1 c1 b2?     |
      | a1 c1 b2    | b1     | no           | a1 c1 b2 b1?  |
