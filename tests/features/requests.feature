Feature: Requests

  Scenario: An interrupted idempotent stream resumes without a gap or a repetition
    Given a fleet with version "1" in force
    When a caller asks "e0" for 50 tokens
    And the engine that runs it crashes
    And 20 seconds pass
    Then the caller got the complete response
    And the request ran on 2 engines

  Scenario: A booking resent to another node gets the first response
    Given a fleet with version "1" in force
    When a caller books "visit-1" at "e0"
    And a caller books "visit-1" at "e1"
    Then both requests got the same response
    And "visit-1" ran once

  Scenario: A booking whose node dies never runs again
    Given a fleet with version "1" in force
    When a caller books "visit-2" at "e0" and the node dies before it responds
    And a caller books "visit-2" at "e1"
    Then the request is refused as unknown
    And "visit-2" ran once

  Scenario: A booking with a different body under the same key is refused
    Given a fleet with version "1" in force
    When a caller books "visit-3" at "e0"
    And a caller books "visit-3" with a different body at "e1"
    Then the request is refused with status 422
    And "visit-3" ran once

  Scenario: A request that crashes engines crashes at most two and fails no other request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When a request that crashes engines is sent to each node in turn
    And 60 seconds pass
    Then at most 2 engines crashed
    And every stream is complete
    And the crashing request was refused with no retry

  Scenario: A node cut off from only the leader still claims bookings and confirms drains
    Given a fleet with version "1" in force
    When entry node "e0" is cut off from the leader only
    And a caller books "visit-4" at "e0"
    And an operator proposes version "2"
    And 40 seconds pass
    Then the caller got the complete response
    And "visit-4" ran once
    And every engine serves version "2"
