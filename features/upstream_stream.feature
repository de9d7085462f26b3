Feature: Token stream of an upstream
  Guards against faults in handling events that arrive in one chunk.

  Scenario: Tokens before an invalid event of the same chunk are emitted
    Guards against a gap in a stream that is resumed after these tokens.
    When an engine sends the events "0, 1, 3" in one chunk
    Then the emitted batches are "t0 t1" and the attempt failed
    And the stream continues at token 2

  Scenario: Tokens that arrive together are emitted together
    Guards against a separate write to the caller for each token.
    When an engine sends the events "0, 1, 2, end" in one chunk
    Then the emitted batches are "t0 t1 t2" and the attempt succeeded
    And the stream continues at token 3
