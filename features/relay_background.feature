Feature: Work in the background for one upstream
  Guards against an error in one call, release or report that nobody foresaw and
  that ends the process with all its requests (inc-negative-wait).

  Scenario Outline: The work for one upstream fails with an unexpected error
    Given 1 instances with 3 engines and 2 services that speak
    When <what> fails 2 times with an unexpected error while 20 staged requests come
    Then the instance still answers a staged request
    And every caller has got its whole answer, or a refusal that says not run
    And 2 log lines say that <work> failed with an unexpected error

    Examples:
      | what                  | work                     |
      | encode_call           | stage call               |
      | decode_call           | stage call               |
      | encode_release        | work                     |
      | encode_report_request | work                     |
