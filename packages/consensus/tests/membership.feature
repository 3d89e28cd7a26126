Feature: Membership
  Voters leave and join one at a time while others are lost.

  Scenario Outline: A voter that was let go is safe to take back with its disk
    Then in 100 quorums of <voters> voters one that was let go while it was down follows again, and nothing acknowledged is undone

    Examples:
      | voters |
      | 4      |
      | 6      |
      | 8      |

  # Seen: a controller with an empty disk was let in, was let go as silent 33 ms later, and was let in again 0.3 s after that.
  # Came about: the leader looked for silent members before the learner's first answer had come, which a slow disk or a large snapshot delays.
  # Cause: a member that has not answered yet counted as silent since the leader took office, however long ago that was.
  # Proof: the leader's log names the learner as silent; counted from its joining, it stays until it was silent for 2 s.
  Scenario: A learner has time to answer
    Given a leader that has led 3 voters for 60000 ms
    When a learner joins
    Then 300 ms later nobody is let go as silent for 2000 ms
    And 1900 ms later nobody is let go as silent for 2000 ms
    And 2100 ms later the learner is let go as silent for 2000 ms

  # Voters that lost their disks at once are replaced one after the other. After each step, from the loss on: the further losses that are borne, whichever
  # they are, and how many sets of further lost members leave a majority. The old identity is dead and the new one is as likely lost as any other member.
  Scenario Outline: A lost identity leaves before the one that replaces it votes, as that bears more
    Given <voters> voters of which <lost> have lost their disks at once
    Then these losses are borne after each step if the old one leaves first "<leaves first>", if the new one votes first "<votes first>"
    And the order in use is the one where the old one leaves first, and bears at least as much after each step

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

  # Why an acknowledgement waits for voters and not for copies.
  Scenario: With fewer voters than the stated losses need these losses end the quorum, however many copies there are
    Then up to 4 losses are borne by twice as many voters and one more, and by no fewer

  Scenario Outline: An acknowledgement waits for voters only where they may still come
    Given a leader of <voters> voters, the last of which joined <ms> ms ago
    Then it waits for more where <losses> losses must be borne: <waits>

    Examples:
      | voters | losses | ms   | waits |
      | 3      | 2      | 100  | yes   |
      | 4      | 2      | 1900 | yes   |
      | 3      | 2      | 2100 | no    |
      | 4      | 2      | 2100 | no    |
      | 5      | 2      | 100  | no    |
      | 3      | 1      | 100  | no    |
      | 1      | 2      | 2100 | no    |

  Scenario Outline: Who asks to be let in
    Given members "<members>" of VMs of the same letter, learners with a question mark
    Then "<asking>", caught up: <is caught up>, is let in by "<next>"

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
