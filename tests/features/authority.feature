Feature: Orders and leadership

  Scenario: An engine receives no conflicting orders during a leader change
    Given a fleet with version "1" in force
    When an operator proposes version "2"
    And the leader is isolated for 6 seconds
    And 40 seconds pass
    Then every engine serves version "2"
    And no engine received an order out of sequence

  Scenario: Orders of a frozen leader have no effect after it resumes
    Given a fleet with version "1" in force
    When an operator proposes version "2"
    And the leader is frozen for 15 seconds
    And 40 seconds pass
    Then every engine serves version "2"
    And no engine received an order out of sequence

  Scenario: A leader that was isolated for a long time sends no orders when it reconnects
    Given a fleet with version "1" in force
    When the leader is isolated for 60 seconds
    And an operator at another control node proposes version "2"
    And 80 seconds pass
    Then every engine serves version "2"
    And every node has the same version
    And no engine received an order out of sequence

  Scenario: A change that an engine's crash interrupted is completed
    Given a fleet with version "1" in force
    When an operator proposes version "2"
    And engine "g1" crashes during its change
    And 40 seconds pass
    Then every engine serves version "2"
    And no engine received an order out of sequence
