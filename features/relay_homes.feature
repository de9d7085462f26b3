Feature: Homes of routes and accounts
  Guards against requests that reach an upstream, or bodies that reach an
  instance, in a region that is no home of their route or account (HOME). The
  failure domains koper and izola are in the region west, ulm is in east.

  Scenario Outline: Work stays in the homes of a request
    Guards against a path of requests on which homes do not bind, and against
    homes of the route or of the account that are not looked at.
    Given instances and upstreams in two regions
    And routes have the homes "<route homes>" and the account "<account homes>"
    When 6 requests of the account are sent to each instance on the route <route>
    Then all are served
    And only upstreams in <domains> got work of them
    And pieces were sent to other instances only in <domains>

    Examples:
      | route         | route homes | account homes | domains     |
      | safe          | west        |               | koper izola |
      | safe          |             | east          | ulm         |
      | unsafe        | east west   | east          | ulm         |
      | stream        | west        |               | koper izola |
      | stream        | west        | east west     | koper izola |
      | resume        |             | west          | koper izola |
      | staged        | east        |               | ulm         |
      | staged        |             | west          | koper izola |
      | staged-resume | west east   | east          | ulm         |

  Scenario Outline: A failed attempt is repeated inside the homes
    Guards against retries and resumes that leave the homes because the
    upstreams there have been tried.
    Given instances and upstreams in two regions
    And routes have the homes "west" and the account ""
    And every upstream in west <fails>
    When a request is sent to each instance on the route <route>
    Then only upstreams in koper izola got work of them
    And at least 2 upstreams got work of them

    Examples:
      | route         | fails                       |
      | safe          | answers with 500            |
      | safe          | refuses with 503            |
      | unsafe        | refuses with 503            |
      | stream        | refuses with 503            |
      | resume        | breaks off after an event   |
      | staged-resume | breaks off after an event   |

  Scenario Outline: No upstream in the homes is up
    Guards against requests that run elsewhere, wait for nothing or have their
    stages executed, and against a verdict that keeps the caller from a retry.
    Given instances and upstreams in two regions
    And routes have the homes "<route homes>" and the account "<account homes>"
    And no upstream of the pools <pools> in west is listed
    When a request of the account is sent to each instance on the route <route>
    Then they are refused within 0.05 s as not run, with a time to come back
    And the detail says "<detail>"
    And no upstream got work of them

    Examples:
      | route  | route homes | account homes | pools         | detail                                 |
      | safe   | north       |               | none          | in the homes of the request (north)    |
      | unsafe | west        | east          | none          | no region is a home of both the route  |
      | unsafe | west        |               | plain         | in the homes of the request (west)     |
      | stream | west        | west east     | engines       | in the homes of the request (west)     |
      | staged |             | west          | engines       | pool engines has no upstream           |
      | staged | west        |               | stage         | pool stage has no upstream             |

  Scenario: A prefix is fetched from engines in the homes only
    Guards against a fetch that hands the prompt's memory to the work of an
    engine outside of the homes.
    Given instances and upstreams in two regions
    When engines in east have read prompts that are then sent with homes west and without
    Then requests without homes fetch from them
    And requests with homes fetch from none of them

  Scenario Outline: A document changes the homes of requests that wait
    Guards against pieces in a queue that are called outside of the homes which
    a newer document names, or of those at the admission of their request.
    Given instances and upstreams in two regions
    And routes have the homes "<before>" and the account ""
    And each call of a stage takes 0.6 s
    When 4 staged requests are sent and then the homes become "<after>"
    Then calls later than 0.5 s after that go only to upstreams in <domains>
    And all are served

    Examples:
      | before | after     | domains     |
      |        | west      | koper izola |
      | west   |           | koper izola |
      | east   | west east | ulm         |

  Scenario: A document moves the homes to another region
    Guards against requests that neither set of homes allows to run.
    Given instances and upstreams in two regions
    And routes have the homes "west" and the account ""
    And each call of a stage takes 0.6 s
    When 4 staged requests are sent and then the homes become "east"
    Then no call is made later than 0.5 s after that
    And they are refused as not run

  Scenario: The last upstream in the homes leaves while pieces wait
    Guards against requests that wait until their deadline for an upstream that
    is gone, or whose pieces are then called elsewhere.
    Given instances and upstreams in two regions
    And routes have the homes "west" and the account ""
    And each call of a stage takes 0.6 s
    When 4 staged requests are sent and then the stage upstreams in west are removed
    Then no call is made later than 0.5 s after that
    And they are refused as not run
    And they are refused within 2 s of that

  Scenario: The region of a failure domain is not known
    Guards against requests with homes that are sent where nobody knows whether
    it is one, and against a log line for each of them.
    Given instances and upstreams in two regions, and no known region of izola
    And routes have the homes "west" and the account ""
    When 6 requests of the account are sent to each instance on the route safe
    Then all are served
    And only upstreams in koper got work of them
    And each instance logged once that the region of izola is not known

  Scenario: Without homes every decision is as before
    Guards against decisions that change where no homes are configured.
    When the same requests are sent without regions, with regions, and with homes that are all regions
    Then the same upstreams got the same requests at the same times

  Scenario: A submission of an older sender has no homes
    Guards against pieces of older instances that no upstream may execute.
    When a submission without homes is encoded and decoded
    Then it has no homes

  Scenario: Pieces of requests with different homes share calls where they may
    Guards against a call whose upstream is a home of some of its pieces only.
    Given a queue of pieces for upstreams in koper, ulm
    When requests with the homes west, east, none offer 1 piece each
    Then the call in koper has pieces of west, none
    And the call in ulm has pieces of east

  Scenario: A stage waits until the memory in its homes is enough
    Guards against stages with homes that are opened since there is memory
    elsewhere, and then wait for each other's memory forever.
    Given a queue of pieces for upstreams in koper, ulm
    When requests with the homes west, west2 offer 8 pieces of 3 MB each
    And every call ends and its results are kept
    Then only one of the requests has results

  Scenario: The wait of a piece counts the upstreams in its homes
    Guards against requests that are admitted for the upstreams of another
    region, and refused for the queue of one.
    Given a queue of pieces for upstreams in koper, ulm
    When 40 requests with the homes west offer 1 piece each
    Then a piece with the homes west waits 40 pieces long at one upstream
    And a piece with the homes east does not wait
    And a piece with the homes north waits for ever
