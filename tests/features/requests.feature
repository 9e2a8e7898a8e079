Feature: Requests

  Scenario: A broken idempotent stream resumes without gap or repeat
    Given a fleet with version "1" in force
    When a caller asks "e0" for 50 tokens
    And the engine that runs it crashes
    And 20 seconds pass
    Then the caller got its whole answer
    And it ran on 2 engines

  Scenario: A booking sent again at another node gets the first answer
    Given a fleet with version "1" in force
    When a caller books "visit-1" at "e0"
    And a caller books "visit-1" at "e1"
    Then both got the same answer
    And "visit-1" ran once

  Scenario: A booking whose node dies is never run again
    Given a fleet with version "1" in force
    When a caller books "visit-2" at "e0" and its node dies first
    And a caller books "visit-2" at "e1"
    Then it is refused as unknown
    And "visit-2" ran once

  Scenario: A booking with another body under the same key is refused
    Given a fleet with version "1" in force
    When a caller books "visit-3" at "e0"
    And a caller books "visit-3" with another body at "e1"
    Then it is refused with status 422
    And "visit-3" ran once

  Scenario: A request that crashes its engines costs two of them and no neighbour
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When a request that crashes engines is sent through every node in turn
    And 60 seconds pass
    Then at most 2 engines crashed
    And every stream got its whole answer
    And the crashing request was refused for good

  Scenario: A node that is cut off from the leader alone still books and confirms drains
    Given a fleet with version "1" in force
    When entry node "e0" is cut off from the leader only
    And a caller books "visit-4" at "e0"
    And an operator proposes version "2"
    And 40 seconds pass
    Then the caller got its whole answer
    And "visit-4" ran once
    And every engine serves version "2"
