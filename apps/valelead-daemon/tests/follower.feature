Feature: Followers of the leader
  Gateways and sidecars follow the leader to get the newest routing and directory, also after the leader has failed.

  Scenario: A follower leaves a leader that stops responding for the next leader
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" stops responding and "b" becomes leader after 1500 ms with a newer routing
    Then the follower has that routing within 1900 ms of the failure

  # Guards against a new routing that some gateways apply 1 to 1.2 s later than others (seen with suspended controllers, `leader-silent` logged
  # twice for the same addresses). A follower remembered only one unresponsive voter. After it had skipped the second, a voter that had not
  # noticed the failure redirected it to the failed leader again.
  Scenario: A follower avoids a leader and another voter that stop responding at the same time
    Given voters "a", "b" and "c", of which "a" leads
    And a follower with a session at "a"
    When "a" and "b" stop responding right before a report and "c" becomes leader after 1500 ms with a newer routing
    Then the follower has that routing within 1700 ms of the failure

  # Guards against gateways that reach a new leader 0.7 to 1.4 s after its first acknowledgement (seen with the leader and another one of five voters
  # suspended and a split vote, `leader-silent` logged three and four times for two failed voters). Voters that had known no leader for long sent the
  # gateways on to the next voter of the list, which led them back to the failed ones.
  Scenario: A follower does not return to unresponsive voters while the other voters elect a leader
    Given voters "a", "b", "c" and "d", of which "a" leads
    And a follower with a session at "a"
    When "a" and "b" stop responding, and "c" and "d" are outside the quorum until the former becomes leader after 2600 ms with a newer routing
    Then the follower has that routing within 2800 ms of the failure

  # Guards against one message of a voter that ends all gateways: nothing caught an error in the turn in which a message arrives.
  Scenario: A follower leaves a leader whose updates it cannot read
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" sends a directory that cannot be read and "b" becomes leader after 1500 ms with a newer routing
    Then the follower has that routing within 2500 ms of the failure

  Scenario: A leader that was suspended for a short time is followed again
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" is suspended for 1200 ms and then leads again
    Then the follower has a session at "a" within 2500 ms of the suspension

  # Guards against a follower that takes its own suspension for silence of the leader, leaves the leader and follows no voter for another second.
  Scenario Outline: A follower that was suspended for <ms> ms keeps its session
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When the follower is suspended for <ms> ms
    Then it has opened one session, at "a"

    Examples:
      | ms   |
      | 700  |
      | 1500 |
      | 5000 |

  Scenario: A voter that is not the leader sends followers the routing that it knows to be committed
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" stops responding and "b" has a newer routing but no leader
    Then the follower has that routing within 1500 ms of the failure

  Scenario: A follower leaves a voter that reports no leader for long
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "b", which is partitioned and reports no leader
    Then the follower has a session at "a" within 3500 ms of the start

  Scenario: An acknowledgement waits until the followers have confirmed
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    Then the leader is still waiting
    When "g2" confirms
    Then the leader is no longer waiting

  Scenario: An acknowledgement waits for a limited time
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    And 350 ms pass
    Then the leader is no longer waiting

  # Guards against a change that a new leader acknowledges before the gateways have found it, so that for a while none of them applies the change.
  Scenario: An acknowledgement of a new leader waits for the gateways that followed the one before
    Given a voter that is not the leader yet and decides on quarantines
    And its log says that 2 gateways follow the leader, and a gateway that has just started knows of none
    When the voter becomes leader
    And "g1" reports for the first time, with a crash of run "r1"
    And a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    And 900 ms pass
    Then the leader is still waiting
    When "g2" reports for the first time, with an older routing
    Then the leader is still waiting
    When "g2" confirms
    Then the leader is no longer waiting

  # Guards against operators who wait for a gateway that has found the leader and does not confirm as long as for one that has not.
  Scenario: An acknowledgement of a new leader waits for a gateway that has found it for the usual time
    Given a voter that is not the leader yet and decides on quarantines
    And its log says that 2 gateways follow the leader, and a gateway that has just started knows of none
    When the voter becomes leader
    And "g1" reports for the first time, with a crash of run "r1"
    And a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    And 100 ms pass
    And "g2" reports for the first time, with an older routing
    And 250 ms pass
    Then the leader is no longer waiting

  # Guards against operators whose changes are held back by gateways that are gone.
  Scenario: An acknowledgement of a new leader waits for missing gateways for a limited time
    Given a voter that is not the leader yet and decides on quarantines
    And its log says that 2 gateways follow the leader, and a gateway that has just started knows of none
    When the voter becomes leader
    And "g1" reports for the first time, with a crash of run "r1"
    And 1600 ms pass
    And "g1" reports as before
    And a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    Then the leader is no longer waiting

  Scenario: An acknowledgement does not wait for a follower that has stopped reporting
    Given a leader with followers "g1" and "g2"
    When 1200 ms pass
    And "g1" reports as before
    And a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    Then the leader is no longer waiting

  Scenario: A follower that has confirmed a routing is not sent another update
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader waits for its followers
    And "g1" confirms
    Then "g1" was sent the routing once and nothing after its confirmation

  # Guards against a gateway that starts with a routing older than the acknowledged one, or, after the loss of all processes, with that of the
  # last snapshot. The state of a leader follows its log by some milliseconds, the time of a disk write. The leader checked only its lease, which
  # says that the log is complete but not that the state is.
  Scenario: A leader whose state is behind its log sends no routing until the state has caught up
    Given a leader with followers "g1" and "g2"
    When the leader's state falls behind its log
    And "g3" reports for the first time, without a routing
    And 100 ms pass
    Then "g3" was sent no routing
    When the leader's state has a newer routing and is no longer behind
    And 20 ms pass
    Then "g3" was sent the newer routing only

  # Guards against requests that stay quarantined after they were released. A voter that has just started has the quarantine list of its last
  # snapshot, which may be older than the acknowledged list. The list has no version by which a gateway could notice this, so the gateway would
  # hold back the released requests for the whole time of the quarantine.
  Scenario: A voter sends no quarantine list before it has received what was acknowledged before its start
    Given a voter that has started and received nothing from a leader, with a quarantine list and a routing
    When "g1" reports for the first time, with an older routing
    Then "g1" was sent no quarantine list and no routing
    When the voter has applied what a leader committed
    And "g1" reports as before
    Then "g1" was sent the quarantine list and the newer routing

  # Guards against requests that are sent to engines for 6 s after their third crash (seen in crash-faults.feature with changes of the leader). A
  # gateway reports the crashes of the last ten minutes only with the first report of a session. A voter that was not the leader yet dropped that
  # report. When it became leader during the same session, it received only the crashes of the last 3 s.
  Scenario: A voter that becomes leader knows the crashes that were reported at the start of a session
    Given a voter that is not the leader yet and decides on quarantines
    When "g1" reports for the first time, with a crash of run "a"
    And the voter becomes leader
    And "g1" reports as before
    Then its quarantine registry has received the crash of run "a"

  # Guards against a leader that takes the gateways that it has heard for all that there are, while another one still sends and knows of crashes.
  Scenario: A leader that hears only a gateway that has just started grants it no crash lease while its log says that there are more
    Given a voter that is not the leader yet and decides on quarantines
    And its log says that 2 gateways follow the leader, and a gateway that has just started knows of none
    When the voter becomes leader
    And "g1" reports for the first time, with a crash of run "e1"
    Then "g1" received an update of a leader without a crash lease

  # Guards against a fourth crashed engine: gateways took the first update of a new leader, which had processed no crash report yet, as permission
  # to send.
  Scenario: A voter that becomes leader grants crash leases only after all gateways have reported to it as the leader
    Given a voter that is not the leader yet and decides on quarantines
    When "g1" reports for the first time, with a crash of run "a"
    And the voter becomes leader and sends its followers a newer routing
    Then "g1" received an update of a leader without a crash lease
    When "g1" reports as before
    Then its quarantine registry has received the crash of run "a"
    And "g1" received an update of a leader without a crash lease
    When "g2" reports for the first time, with a crash of run "a"
    Then "g2" received an update of a leader with a crash lease

  Scenario: A voter knows what was acknowledged before its start once it has the entries that a leader reports as committed
    Given a voter that starts from its disk with 4 log entries, of which its last snapshot contains 2
    Then the voter has applied up to entry 2 and does not know what was acknowledged
    When its leader reports that 6 entries are committed
    Then the voter has applied up to entry 4 and does not know what was acknowledged
    When its leader sends the entries from 5 to 6
    Then the voter has applied up to entry 6 and knows what was acknowledged

  # Guards against a gateway that has no routing for 2.1 s after its start beside a working leader, because the first voter of its settings
  # belongs to no quorum; with two of three disks lost, a gateway reached the third controller after 3.4 s instead of 0.9 s. A follower stayed for
  # 2 s at any voter that reported no leader. A voter outside the quorum now says so, and the follower asks the next voter at once.
  Scenario: Voters outside the quorum do not delay the start of a follower
    Given voters "a", "b" and "c", of which "c" leads
    And "a" and "b" report no leader and that they are outside the quorum
    When a follower starts with "a"
    Then the follower has a session at "c" within 50 ms of the start

  # Guards against a follower that skips voters: a gateway went from the second of three voters back to the first, which had no quorum, and lost
  # 0.6 s, though the third voter reported the leader. A session that a follower leaves ends with an error afterwards. This error was counted as
  # one of the next session and moved the follower on in the list a second time. The sessions of this test end in the same way.
  Scenario: A follower skips no voter of the list
    Given voters "a", "b", "c" and "d", of which "d" leads and is not in the list
    And "a" and "b" report no leader and that they are outside the quorum
    When a follower starts with "a"
    Then the follower has a session at "d" within 50 ms of the start
    And it has opened one session each at "a", "b", "c" and "d"

  Scenario: A follower whose voters are all outside the quorum asks one per heartbeat, and finds a later leader
    Given voters "a", "b" and "c", of which "c" leads
    And "a", "b" and "c" report no leader and that they are outside the quorum
    When a follower starts with "a"
    And 10000 ms pass
    Then the follower has opened between 20 and 70 sessions
    When "a" leads from now on
    Then the follower has a session at "a" within 700 ms of the start

  Scenario Outline: A voter reports that it is outside the quorum if it cannot learn of a leader soon
    Given a voter "<which>" that started, with an election timeout of 700 ms
    When it follows a leader for <following> ms and none for the next <leaderless> ms
    Then it reports that it is outside the quorum: <word>

    Examples:
      | which                           | following | leaderless | word |
      | without a quorum                | 0         | 0          | yes  |
      | that is no member of the quorum | 0         | 0          | yes  |
      | that is a learner               | 0         | 0          | yes  |
      | that is a learner               | 500       | 0          | no   |
      | that is a member of the quorum  | 0         | 1300       | no   |
      | that is a member of the quorum  | 0         | 1500       | yes  |
      | that is a member of the quorum  | 5000      | 0          | no   |
      | that is a member of the quorum  | 5000      | 1300       | no   |
      | that is a member of the quorum  | 5000      | 1500       | yes  |

  Scenario Outline: A controller without a disk reports that it is outside the quorum if it finds no leader
    Given a controller without a disk that finds the leader "<leader>"
    When a follower reports to it
    Then it reports the leader "<leader>" and that it is outside the quorum: <word>

    Examples:
      | leader | word |
      | b      | no   |
      |        | yes  |

  # Guards against a backlog of routings: when many versions were committed in a short time, each was written to each follower, so that the followers
  # applied versions that were seconds old.
  Scenario: A follower that confirms no routing is sent one per second, and the newest one as soon as it confirms
    Given a leader with followers "g1" and "g2"
    When the versions 2 to 26 are committed 60 ms apart, and "g1" confirms none
    Then "g1" was sent 2 routings at most
    When "g1" confirms the last routing that it was sent
    Then the last routing that "g1" was sent is version 26

  # Guards against revoked keys that are still accepted: a follower must not take its routing for the newest while the leader delays a newer one.
  Scenario: A follower receives no confirmation of its routing while a newer one is delayed
    Given a leader with followers "g1" and "g2"
    When the versions 2 to 4 are committed 60 ms apart, and "g1" confirms none
    And 200 ms pass
    And "g1" reports as before
    Then "g1" receives the confirmation that its routing is the newest: no
    When "g1" confirms the last routing that it was sent
    Then the last routing that "g1" was sent is version 4
    And "g1" receives the confirmation that its routing is the newest: yes
