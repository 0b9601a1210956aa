Feature: What was accepted stays accepted, whatever happens to the machines that hold it

  Background:
    Given a deployment with traffic

  Scenario: A store loses its disk right after an acknowledgement
    When a store loses its disk as it acknowledges a message
    Then no rule is broken
    And all that was accepted has ended

  Scenario: An edge loses power with an ordered key in hand
    When an edge loses power while it has a message of a key out
    Then no rule is broken
    And all that was accepted has ended

  Scenario: Two operators race
    When two operators change the configuration at once
    Then one of the two changes is acknowledged
    And no rule is broken

  Scenario: A drain is acknowledged and the leader dies
    When the leader is killed as a drain is acknowledged
    Then no rule is broken

  Scenario: A store is retired
    When a store is ordered to be emptied
    Then it is taken away
    And no rule is broken
    And all that was accepted has ended
