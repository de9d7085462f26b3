Feature: Requests that crash the upstreams of a stage, on the JSON interface
  Guards against the cause of inc-repeated-request on the product's own
  interface.

  Scenario Outline: A request that crashes upstreams of the JSON interface stops reaching them
    Guards against a crash that is held against the upstream alone, so that the
    same request crashes the next one when it comes again, at any instance.
    Given entry instances whose upstreams of the pool <pool> crash on one request
    When it comes every 2 s for 40 s on the pipeline <pipeline>, beside 5 sound requests a second
    Then at most 3 arrivals of it follow later than 3 s after its third crash there
    And at least half of the sound requests sent later than that are served

    Examples:
      | pipeline | pool     |
      | embed    | encoder  |
      | pay      | payments |
      | ask      | engines  |
