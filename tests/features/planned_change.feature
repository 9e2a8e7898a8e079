Feature: Planned change

  Scenario: Draining an engine cuts no request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When an operator proposes version "2"
    And 60 seconds pass
    Then every stream got its whole answer
    And every engine serves version "2"
    And no engine had an order out of turn

  Scenario: A graceful stop cuts no request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When entry node "e0" is asked to stop
    And 60 seconds pass
    Then every stream got its whole answer
    And node "e0" has stopped

  Scenario: A graceful stop of the leader cuts no request
    Given a fleet with version "1" in force
    And callers keep 12 long streams running
    When the leader is asked to stop
    And 60 seconds pass
    Then every stream got its whole answer

  Scenario: An upstream that is leaving gets no new work after 5 seconds
    Given a fleet with a platform list and version "1" in force
    When the platform lists engine "g0" as leaving
    And 5 seconds pass
    And callers ask every node for 4 answers
    Then engine "g0" got no work in the last 3 seconds

  Scenario: A node that can't know who is leaving refuses truthfully
    Given a fleet with a platform list and version "1" in force
    When entry node "e0" is cut off from all nodes and from the platform
    And 7 seconds pass
    And a caller asks "e0" for an answer
    Then it is refused at once as not run

  Scenario: A node that does not confirm a drain holds the change back
    Given a fleet with version "1" in force
    When entry node "e0" is frozen for 20 seconds
    And an operator proposes version "2"
    And 15 seconds pass
    Then no engine serves version "2"
    And the status names "e0" as awaited
