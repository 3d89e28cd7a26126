Feature: Where a resumed stream began
  A caller names the attempt that began its stream, and the gateway finds out at which upstream that was.

  Background:
    Given a resumable route to service "s"
    And attempt "a1" of team "red" began its stream at service "s", version "v1"

  # Guards against streams that go on at a service or version that did not begin them, and against ids that tell of other teams' streams.
  Scenario Outline: <what>
    Given upstreams of versions "<versions>"
    When team "<team>" sends a request with last event "<event>" that resumes "<resumes>"
    Then the request is "<result>"

    Examples:
      | what                                       | versions | team | event | resumes | result        |
      | A new request                              | v1, v2   | red  |       |         | new           |
      | A resumed stream                           | v1, v2   | red  | 3     | a1      | at s, v1      |
      | A stream that is resumed from its start    | v1, v2   | red  |       | a1      | at s, v1      |
      | The stream of another team                 | v1       | blue | 3     | a1      | refused, 2018 |
      | An attempt that began no stream            | v1       | red  | 3     | a9      | refused, 2018 |
      | No attempt is named, one version serves    | v1       | red  | 3     |         | at s, v1      |
      | No attempt is named, two versions serve    | v1, v2   | red  | 3     |         | refused, 2018 |
      | No attempt is named, the version is unknown |         | red  | 3     |         | refused, 2018 |

  # Guards against a stream that goes on at the new version because the old one has just left.
  Scenario: No attempt is named, and another version has left lately
    Given upstreams of versions "v1"
    And 30 seconds later upstreams of versions "v2"
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "refused, 2018"

  Scenario: No attempt is named, and another version has left long ago
    Given upstreams of versions "v1"
    And 30 seconds later upstreams of versions "v2"
    And 90 seconds later upstreams of versions "v2"
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "at s, v2"

  # Guards against a leader that has just begun and takes the only version that it has heard of for the only one that there was.
  Scenario: No attempt is named, and another version has left just before a change of leader
    Given upstreams of versions "v1, v2"
    And another leader, which knows upstreams of versions "v2"
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "refused, 2018"

  # Guards against streams that go on somewhere because a gateway out of reach of the leader takes what it knows for all that there is.
  Scenario: No attempt is named, and no leader replies
    Given upstreams of versions "v1"
    And no leader replies within 1150 ms, and no voter knows the stream within 1150 ms
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "refused, 2018"
    And the caller may try again after 1000 ms, and had its answer within 1200 ms

  # Guards against callers that are refused although their id, which they have kept, identifies their stream.
  Scenario: No attempt is named, and the caller keeps the id of the attempt that began its stream
    Given upstreams of versions "v1, v2"
    And the request has the id "a1"
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "at s, v1"

  # Guards against a service that runs requests which the routing no longer sends there.
  Scenario: The route leads to another service since
    Given a resumable route to service "t"
    And upstreams of versions "v1"
    When team "red" sends a request with last event "3" that resumes "a1"
    Then the request is "refused, 2019"

  # Guards against a stream of the service to which the route led before that goes on at the present one.
  Scenario: No attempt is named, and the route led to another service when the stream began
    Given upstreams of versions "v1"
    And a resumable route to service "t"
    And an upstream of service "t" and version "v1"
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "refused, 2018"

  # Guards against callers that are refused for good because a route was moved once.
  Scenario: No attempt is named, and the route led to another service long ago
    Given a resumable route to service "t"
    And an upstream of service "t" and version "v1"
    And 90 seconds later upstreams of versions "v1"
    And an upstream of service "t" and version "v1"
    When team "red" sends a request with last event "3" that resumes ""
    Then the request is "at t, v1"

  # Guards against requests of other routes that are taken for resumed streams.
  Scenario: The route is not resumable
    Given a route to service "s" that is not resumable
    And upstreams of versions "v1, v2"
    When team "red" sends a request with last event "3" that resumes "a1"
    Then the request is "new"

  # Guards against an id that two streams share, of which either might be meant.
  Scenario: An attempt's id was used for two streams
    Given attempt "a1" of team "red" began its stream at service "s", version "v2"
    And upstreams of versions "v1, v2"
    When team "red" sends a request with last event "3" that resumes "a1"
    Then the request is "refused, 2018"
