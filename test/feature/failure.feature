Feature: What fails
  Each line of the users' list of failures, alone and in pairs.  The verdict
  comes from the engine's ledger and from what the callers were told.

  Scenario: An owner dies while requests wait with it
    Given owners A and B with 2 places
    And 5 requests wait with A
    When A dies
    And the entry turns to B
    And the engine finishes everything
    Then every request ran once
    And every caller was told complete

  Scenario: An entry dies while its requests wait
    Given owners A and B with 2 places
    And 5 requests wait with A
    When the entry dies
    And 40 seconds pass
    Then the engine's places are free again with A
    And no request ran twice

  Scenario: Two owners grant the same request
    Given owners A and B with 2 places
    And 1 request waits with A
    When B believes that it owns the shard too
    And the engine finishes everything
    Then every request ran once
    And B has its place back

  Scenario: An owner's grants arrive late and repeated
    Given owners A and B with 2 places
    And 3 requests wait with A
    When the grants of A are delivered three times
    And the entry turns to B
    And the old grants of A arrive again
    And the engine finishes everything
    Then every request ran once

  Scenario: An engine refuses connections
    Given owners A and B with 2 places
    And 3 requests wait with A
    When the engine refuses connections for 3 seconds
    And the engine finishes everything
    Then every request ran once
    And every caller was told complete

  Scenario: A burst beyond the queue
    Given owners A and B with 2 places
    When 60 batch requests and 20 urgent requests arrive at once
    Then no urgent request was shed while a batch request waited
    And some batch request was shed
    And every refusal says not_run and when to come back

  Scenario: A burst while the owner dies
    Given owners A and B with 2 places
    When 60 batch requests and 20 urgent requests arrive at once
    And A dies
    And the entry turns to B
    And the engine finishes everything
    Then no request ran twice
    And every urgent request that was not refused ran once

  Scenario: An engine slows down without warning
    Given a slow engine and a fast engine with 8 places each
    And both have answered 10 requests
    When the slow engine answers nothing for 5 seconds
    Then the next 5 requests go to the fast engine

  Scenario: The log is down while a key is claimed
    Given a request that may not be repeated
    When the log is down
    And its deadline passes
    Then the caller was told not_run
    And it never runs even when the claim lands later

  Scenario: A claim takes effect while its answer is lost
    Given a request that may not be repeated
    When the claim lands twice and its answer is lost
    And it is granted
    Then it ran once

  Scenario: The same key at two entries at once
    Given two requests with the same key
    When both claims land
    And both are granted
    Then exactly one of them ran
    And the other was told unknown

  Scenario: An entry dies after its claim, and the caller comes again
    Given two requests with the same key
    When the first claim lands and its entry dies
    And the second claim lands
    And the second is granted
    Then none of them ran
    And the second was told unknown

  Scenario: A holder is paused beyond its lease and wakes up
    Given two controllers contend for a lease
    When the first holds the lease and is paused for 20 seconds
    And the second takes the lease
    Then the first may give no order when it wakes up
    And the second's fencing number is higher

  Scenario: The log is down for long while a lease is held
    Given two controllers contend for a lease
    When the first holds the lease
    And the log is down for 20 seconds
    Then nobody may give orders

  Scenario: Two operators roll out different bundles at once
    Given a bundle in force
    When two rivals are published on it
    Then both readers have the first in force
    And the second is told to rebase

  Scenario: Two operators race while answers of the log are lost
    Given a bundle in force
    When two rivals are published on it, each of them twice
    Then both readers have the first in force

  Scenario: A zone that was cut off comes back with an older bundle
    Given a bundle in force
    And a reader that was cut off
    When two rivals are published on it
    And the log forgets all but a checkpoint and one record
    Then the reader that was cut off has the first in force
    And an older bundle from a peer changes nothing
