Feature: Configuration

  Scenario: Of two concurrent proposals on the same base version one is accepted
    Given a fleet with version "1" in force
    When two operators propose concurrently on the same base version
    Then one proposal is accepted and the other conflicts
    And every node has the same version within 5 seconds

  Scenario: A proposal resent after a lost response gets the first response
    Given a fleet with version "1" in force
    When an operator's proposal is accepted but the response is lost
    And all nodes are killed and restarted
    And the operator resends the proposal
    Then the resend gets the first response

  Scenario: A node cut off from control gets the configuration from its peers
    Given a fleet with version "1" in force
    When entry node "e0" is cut off from all control nodes
    And an operator proposes version "2"
    Then every node has the same version within 5 seconds

  Scenario: An accepted configuration survives the loss of a second VM after the first is replaced
    Given a fleet with version "1" in force
    When control node "c0" loses its disk and restarts
    And its replica has become a voter
    And control node "c1" loses its disk and stays down
    And 10 seconds pass
    Then version "1" is in force on every running node
    And an operator can propose version "2"

  Scenario: Nodes agree after a restart that follows hundreds of changes
    Given a fleet with version "1" in force
    When 300 changes are accepted in sequence
    And all nodes are killed and restarted
    Then every node has version number 301 within 20 seconds
