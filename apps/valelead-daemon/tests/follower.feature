Feature: Followers of the leader
  Gateways and sidecars hold the newest routing and directory, also when the leader dies.

  Scenario: A follower leaves a leader that falls silent for the next one
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" falls silent and "b" takes over after 1500 ms with a newer routing
    Then the follower holds that routing within 1900 ms of the silence

  # Seen with real processes (controllers that stand still, trials): with the leader and another voter silent, some gateways obeyed a new routing 1 to 1.2 s
  # later than others. Cause: a follower remembered one silent voter only; passing over the second, it trusted the dead leader again on the word of a
  # voter that had not noticed, and met both once more in the list. Proof: the same addresses are passed over twice (`leader-silent`).
  Scenario: A follower leaves a leader and another voter that fall silent at once, each for its time
    Given voters "a", "b" and "c", of which "a" leads
    And a follower with a session at "a"
    When "a" and "b" fall silent right before a report and "c" takes over after 1500 ms with a newer routing
    Then the follower holds that routing within 1700 ms of the silence

  # Seen with real processes (five voters of which the leader and another one stood still, an election that split): gateways came to the new leader 0.7 to 1.4 s
  # after its first acknowledgement. Cause: voters that knew no leader for long sent them on, round the list, to those that were dead. Proof: `leader-silent`
  # three and four times for two dead voters.
  Scenario: A follower does not go back to voters that fell silent while others elect
    Given voters "a", "b", "c" and "d", of which "a" leads
    And a follower with a session at "a"
    When "a" and "b" fall silent, and "c" and "d" are outside until the former leads after 2600 ms with a newer routing
    Then the follower holds that routing within 2800 ms of the silence

  Scenario: A leader that only stood still is followed again
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" stands still for 1200 ms and goes on to lead
    Then the follower has a session at "a" within 2500 ms of the standstill

  # Guards against: a leader that is given up for the time in which the follower itself stood still, so that it follows nobody for a second more.
  Scenario Outline: A follower that stood still for <ms> ms keeps its session
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When the follower stands still for <ms> ms
    Then it has asked "a" once, and nobody else

    Examples:
      | ms   |
      | 700  |
      | 1500 |
      | 5000 |

  Scenario: A voter that does not lead passes on what it knows to be committed
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" falls silent and "b" knows a newer routing but no leader
    Then the follower holds that routing within 1500 ms of the silence

  Scenario: A voter that names no leader for long is left for another one
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "b", which is cut off and names no leader
    Then the follower has a session at "a" within 3500 ms of the start

  Scenario: An acknowledgement waits until the followers have confirmed
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader settles
    And "g1" confirms
    Then the leader is not settled
    When "g2" confirms
    Then the leader is settled

  Scenario: An acknowledgement does not wait for ever
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader settles
    And "g1" confirms
    And 350 ms pass
    Then the leader is settled

  Scenario: A follower that was silent before is not waited for
    Given a leader with followers "g1" and "g2"
    When 1200 ms pass
    And "g1" reports as before
    And a newer routing is committed and the leader settles
    And "g1" confirms
    Then the leader is settled

  Scenario: A leader that is silent about its directory is asked for no second reply
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader settles
    And "g1" confirms
    Then "g1" was sent the routing once and nothing after its confirmation

  # Seen by reading: a leader tells followers the routing of its state, and its state follows what is committed by some milliseconds (the time of a write
  # to the disk). A gateway that started in that moment obeyed the routing before the one that was acknowledged; after the loss of all processes,
  # the one of the last snapshot. Cause: the lease alone was asked for, which says that the log holds all and not that the state does. Proof: with
  # a state that lags, a fresh follower of the leader is sent the older routing.
  Scenario: A leader whose state is behind its log tells no routing until it has taken all
    Given a leader with followers "g1" and "g2"
    When the leader's state falls behind its log
    And "g3" reports for the first time, without a routing
    And 100 ms pass
    Then "g3" was sent no routing
    When the leader's state has a newer routing and is no longer behind
    And 20 ms pass
    Then "g3" was sent the newer routing only

  # Seen by reading: a voter that has just started passes on the quarantine of its last snapshot, and gateways keep requests from upstreams for the whole
  # of its time that were released since. Cause: what a voter reads from its disk is older than what was acknowledged, and a quarantine has no
  # version by which a gateway could tell. Proof: a voter that heard no leader since its start sends its list.
  Scenario: A voter passes on no quarantine before it has heard what was acknowledged before its start
    Given a voter that started and has heard no leader, with a quarantine and a routing
    When "g1" reports for the first time, with an older routing
    Then "g1" was sent no quarantine and no routing
    When the voter has taken what a leader committed
    And "g1" reports as before
    Then "g1" was sent the quarantine and the newer routing

  # Seen with real processes (crash-faults.feature, changes of leader): requests went on to engines for 6 s after their third crash. The log of each new
  # leader began with the crashes of the last 3 s, though gateways held those of ten minutes.
  # Came about: gateways had their sessions at a voter, or were sent to it as it won its election, before it might act as leader.
  # Cause: a gateway tells all the crashes that it holds with the first report of a session. A voter that does not lead yet drops them, and the session
  # goes on when it leads, with the crashes of the last 3 s.
  # Proof: what a voter heard in a session's first report is not known to the judgement once it leads.
  Scenario: A voter that comes to lead knows the crashes that a session began with
    Given a voter that does not lead yet and judges requests
    When "g1" reports for the first time, with a crash of run "a"
    And the voter leads
    And "g1" reports as before
    Then its judgement was told of the crash of run "a"

  # Guards against: a fourth engine lost as gateways took the first word of a new leader, which had taken no report yet, for leave to send.
  Scenario: A voter that comes to lead lets gateways go by its list once all have reported to it as the leader
    Given a voter that does not lead yet and judges requests
    When "g1" reports for the first time, with a crash of run "a"
    And the voter leads and tells its followers of a newer routing
    Then "g1" was told by a leader that does not let it go by its list
    When "g1" reports as before
    Then its judgement was told of the crash of run "a"
    And "g1" was told by a leader that does not let it go by its list
    When "g2" reports for the first time, with a crash of run "a"
    Then "g2" was told by a leader that lets it go by its list

  Scenario: A voter knows what was acknowledged before its start once it holds what a leader tells to be committed
    Given a voter that starts from its disk with 4 entries, of which its last snapshot holds 2
    Then the voter has applied up to entry 2 and does not know what was acknowledged
    When its leader tells that 6 entries are committed
    Then the voter has applied up to entry 4 and does not know what was acknowledged
    When its leader sends the entries from 5 to 6
    Then the voter has applied up to entry 6 and knows what was acknowledged

  # Seen with real processes (trials): a gateway that started anew beside a healthy leader had no routing for 2.1 s, as the first voter of its settings belonged
  # to no quorum; with two of three disks lost a gateway heard the third controller 3.4 s after the start, and 0.9 s with none lost. Cause: a voter that names no
  # leader was asked for 2 s, whatever the reason, and one that has lost its disk names none. Proof: where such voters say so, the next one is asked at once.
  Scenario: Voters that are outside of the quorum do not hold up a follower that starts
    Given voters "a", "b" and "c", of which "c" leads
    And "a" and "b" name no leader and say that they are outside
    When a follower starts with "a"
    Then the follower has a session at "c" within 50 ms of the start

  # Seen with real processes (trial): a gateway went from the second of three voters to the first again, and stayed 0.6 s at one without a quorum, though the
  # third named the leader. Cause: a session that a follower leaves ends with an error after that, which counted as one of the next session's and moved the
  # follower on in the list once more. Proof: the stand-in's sessions end in the same way, and each second voter is left out.
  Scenario: A follower leaves out no voter of the list
    Given voters "a", "b", "c" and "d", of which "d" leads and is not in the list
    And "a" and "b" name no leader and say that they are outside
    When a follower starts with "a"
    Then the follower has a session at "d" within 50 ms of the start
    And it asked "a", "b", "c" and "d", each once

  Scenario: A follower asks voters that all are outside once a heartbeat, and finds the one that leads at last
    Given voters "a", "b" and "c", of which "c" leads
    And "a", "b" and "c" name no leader and say that they are outside
    When a follower starts with "a"
    And 10000 ms pass
    Then the follower has opened between 20 and 70 sessions
    When "a" leads from now on
    Then the follower has a session at "a" within 700 ms of the start

  Scenario Outline: A voter says that it is outside where it can have no word of a leader soon
    Given a voter "<which>" that started, with an election timeout of 700 ms
    When it follows a leader for <following> ms and none for the next <leaderless> ms
    Then it says that it is outside: <word>

    Examples:
      | which                   | following | leaderless | word |
      | without a quorum        | 0         | 0          | yes  |
      | that no quorum counts   | 0         | 0          | yes  |
      | that is let in          | 0         | 0          | yes  |
      | that is let in          | 500       | 0          | no   |
      | that its quorum counts  | 0         | 1300       | no   |
      | that its quorum counts  | 0         | 1500       | yes  |
      | that its quorum counts  | 5000      | 0          | no   |
      | that its quorum counts  | 5000      | 1300       | no   |
      | that its quorum counts  | 5000      | 1500       | yes  |

  Scenario Outline: A controller without a disk says that it is outside where it finds no leader
    Given a controller without a disk that finds the leader "<leader>"
    When a follower reports to it
    Then it names the leader "<leader>" and says that it is outside: <word>

    Examples:
      | leader | word |
      | b      | no   |
      |        | yes  |

  # Guards against changes that pile up in front of followers: each of a storm was written to each follower, which then obeyed versions that were seconds old.
  Scenario: A follower that confirms no routing is sent one a second, and the newest as soon as it has confirmed
    Given a leader with followers "g1" and "g2"
    When the versions 2 to 26 are committed 60 ms apart, and "g1" confirms none
    Then "g1" was sent 2 routings at most
    When "g1" confirms the last one that it was sent
    Then the last routing that "g1" was sent is version 26

  # Guards against keys that go on being served: a follower that a newer routing is held back from must not take its own for the newest.
  Scenario: A follower is not told that its routing is the newest while a newer one is held back
    Given a leader with followers "g1" and "g2"
    When the versions 2 to 4 are committed 60 ms apart, and "g1" confirms none
    And 200 ms pass
    And "g1" reports as before
    Then "g1" is told that its routing is the newest: no
    When "g1" confirms the last one that it was sent
    Then the last routing that "g1" was sent is version 4
    And "g1" is told that its routing is the newest: yes
