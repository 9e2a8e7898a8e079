Feature: Orders and authority

  Scenario: An engine never receives conflicting orders while leaders change
    Given a fleet with version "1" in force
    When an operator proposes version "2"
    And the leader is isolated for 6 seconds
    And 40 seconds pass
    Then every engine serves version "2"
    And no engine had an order out of turn

  Scenario: Orders of a frozen leader that wakes have no effect
    Given a fleet with version "1" in force
    When an operator proposes version "2"
    And the leader is frozen for 15 seconds
    And 40 seconds pass
    Then every engine serves version "2"
    And no engine had an order out of turn

  Scenario: A leader that is cut off for long has no say when it returns
    Given a fleet with version "1" in force
    When the leader is isolated for 60 seconds
    And an operator at another control node proposes version "2"
    And 80 seconds pass
    Then every engine serves version "2"
    And every node has the same version
    And no engine had an order out of turn

  Scenario: A change that an engine's crash left half done is finished
    Given a fleet with version "1" in force
    When an operator proposes version "2"
    And engine "g1" crashes in the middle of its change
    And 40 seconds pass
    Then every engine serves version "2"
    And no engine had an order out of turn
