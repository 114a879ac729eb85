Feature: Callers use an unmodified OpenAI client
  Only the base URL and the API key of the client are set.

  Background:
    Given 3 daemons in zones "abc" with the demo configuration

  Scenario: A draft is returned complete
    When Kandyan Lanka requests a draft with the openai client
    Then the draft has 12 words and names the version that generated it

  Scenario: A draft is returned as a stream
    When Kandyan Lanka requests a streamed draft with the openai client
    Then the draft has 12 words and names the version that generated it

  Scenario: A wrong key is an authentication error
    When a caller requests a draft with a wrong key
    Then the client raises an authentication error

  Scenario: An unknown model is a not-found error
    When Kandyan Lanka requests model "nobody" with the openai client
    Then the client raises a not-found error

  Scenario: The models of a workspace can be listed
    When Kandyan Lanka lists models with the openai client
    Then the list contains "draft" and "drafter@small-1"
