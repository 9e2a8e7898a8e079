Feature: Configuration

  Scenario: Operators race under equal numbers and one wins
    Given a fleet with version "1" in force
    When two operators propose on the same base at once
    Then one is accepted and the other gets a conflict
    And every node has the same version within 5 seconds

  Scenario: A proposal sent again after its answer was lost gets the first answer
    Given a fleet with version "1" in force
    When an operator's proposal is accepted but the answer is lost
    And all nodes are killed and started again
    And the operator sends it again
    Then it gets the first answer

  Scenario: A node cut off from control gets the configuration from its peers
    Given a fleet with version "1" in force
    When entry node "e0" is cut off from all control nodes
    And an operator proposes version "2"
    Then every node has the same version within 5 seconds

  Scenario: An accepted configuration survives the loss of a second VM after a repair
    Given a fleet with version "1" in force
    When control node "c0" loses its disk and comes back
    And its replica has become a voter
    And control node "c1" loses its disk and stays away
    And 10 seconds pass
    Then version "1" is in force on every running node
    And an operator can propose version "2"

  Scenario: Processes restart after hundreds of changes and still agree
    Given a fleet with version "1" in force
    When 300 changes are accepted one after the other
    And all nodes are killed and started again
    Then every node has version number 301 within 20 seconds
