Feature: Counts of requests
  What an entry counts of its requests agrees with the requests that it has, and is zero once it has none.

  # Guards against a place, a queue position or a share of a team that is taken and never given back, after which an idle upstream gets no request.
  Scenario: Random histories leave nothing counted
    When 400 random histories of 150 events are played
    Then after each event the counts agree with the requests, and after each history all are zero
