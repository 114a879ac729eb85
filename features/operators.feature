Feature: Operators change the configuration
  One of several concurrent publications is accepted, takes effect on every
  daemon and is never reverted.

  Background:
    Given 3 daemons in zones "abc" with the demo configuration

  Scenario: One of three concurrent publications is accepted
    When 3 operators publish on the same base at three daemons concurrently
    Then exactly 1 is accepted and every refusal names its offset
    And the accepted document is in force on every daemon

  Scenario: A withdrawn version gets no new work
    When an operator withdraws "drafter@small-1" on the command line
    Then "drafter@small-1" is withdrawn on every daemon
    And 6 drafts start no work on "drafter@small-1"

  Scenario: The refusal of an invalid document names every fault and changes nothing
    When an operator publishes a document with 2 faults
    Then the refusal names 2 paths
    And the configuration in force is unchanged

  Scenario: Restarts during a log outage do not revert the configuration
    Given an operator withdraws "drafter@small-1" on the command line
    And the log is down
    When every daemon is replaced in turn
    Then "drafter@small-1" is withdrawn on every daemon
