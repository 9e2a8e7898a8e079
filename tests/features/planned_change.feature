Feature: Planned change

  Scenario: Draining an engine interrupts no request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When an operator proposes version "2"
    And 60 seconds pass
    Then every stream is complete
    And every engine serves version "2"
    And no engine received an order out of sequence

  Scenario: A graceful stop interrupts no request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When entry node "e0" is asked to stop
    And 60 seconds pass
    Then every stream is complete
    And node "e0" has stopped

  Scenario: A graceful stop of the leader interrupts no request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When the leader is asked to stop
    And 60 seconds pass
    Then every stream is complete

  Scenario: A leaving upstream gets no new requests after 5 seconds
    Given a fleet with a platform list and version "1" in force
    When the platform lists engine "g0" as leaving
    And 5 seconds pass
    And callers ask every node for 4 completions
    Then engine "g0" received no request in the last 3 seconds

  Scenario: A node without a current list of leaving upstreams refuses requests as not run
    Given a fleet with a platform list and version "1" in force
    When entry node "e0" is cut off from all nodes and from the platform
    And 7 seconds pass
    And a caller asks "e0" for a completion
    Then the request is refused at once as not run

  Scenario: A change waits until every node has confirmed the drain
    Given a fleet with version "1" in force
    When entry node "e0" is frozen for 20 seconds
    And an operator proposes version "2"
    And 15 seconds pass
    Then no engine serves version "2"
    And the status names "e0" as not yet confirmed
