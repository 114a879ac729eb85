Feature: Guarantees hold under faults of the log, engines and daemons

  Background:
    Given 3 daemons in zones "abc" with the demo configuration

  Scenario: The log is down temporarily
    Given the log is down
    When Hallmark requests 6 drafts
    Then 6 drafts are complete
    When the log recovers
    Then each complete answer is charged once

  Scenario: The log is down and a zone dies
    Given the log is down
    When Hallmark requests 6 drafts at "a0"
    Then 6 drafts are complete
    When daemon "a0" crashes
    And the log recovers
    Then each complete answer is charged once

  Scenario: The log is slow
    Given the log takes 0.3 seconds for an append
    When Kandyan Lanka books "hall-1" at every entry concurrently
    Then "hall-1" has run 1 time

  Scenario: Answers of the log are lost after the append took effect
    Given the log will lose 2 answers
    When Hallmark requests 6 drafts
    Then 6 drafts are complete
    And each complete answer is charged once

  Scenario: The log loses answers while a booking is retried at several entries
    Given the log will lose 2 answers
    When Kandyan Lanka books "hall-1" until it succeeds
    Then "hall-1" has run 1 time

  Scenario: A pool loses all its endpoints and recovers
    Given every engine is down
    When Hallmark requests 2 drafts
    Then 2 drafts are refused as not run
    When every engine is up
    Then a draft succeeds within 5 seconds

  Scenario: Connections to engines become unresponsive permanently
    Given the engines are connected through links
    And Hallmark has requested 3 drafts
    When the open connections of every link become unresponsive
    And Hallmark requests 3 drafts
    Then 6 drafts are complete

  Scenario: An owner crashes while the log is slow
    Given the log takes 0.2 seconds for an append
    And Kandyan Lanka has booked "hall-1"
    When the owner of "hall-1" crashes
    And Kandyan Lanka books "hall-1" until it succeeds
    Then "hall-1" has run 1 time

  Scenario: A daemon shuts down while it forwards streams
    When Hallmark streams 8 long reports through "b1" while it stops
    Then 8 drafts are complete
    And "b1" is no longer listed as an entry
    And each complete answer is charged once

  Scenario: A version that degrades under traffic is quarantined
    Given both workspaces have sent drafts until "drafter@small-1" has 60 ratings
    When "drafter@small-1" degrades on every engine
    And both workspaces continue to send drafts until it is quarantined
    Then "drafter@small-1" is quarantined on every daemon within 5 seconds
    And at most 60 degraded drafts were started before the quarantine
    And 6 more drafts start no work on "drafter@small-1"

  Scenario: Failed ratings of one workspace do not quarantine a version fleet-wide
    Given both workspaces have sent drafts until "drafter@small-1" has 60 ratings
    When the rating service rates every answer of Hallmark as failed
    And both workspaces send 60 drafts
    Then "drafter@small-1" is not quarantined for Kandyan Lanka
