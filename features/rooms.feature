Feature: Rooms import only what lies below them
  Arrows go one way, from the shells to what they use. A room that imports one above it
  can't be read, tested or loaded without that; an entry's start pays for each module.

  Scenario Outline: What a room imports
    Then "lavenderspoke/<room>" imports nothing of the project but "<below>"
    And nothing that "lavenderspoke/<room>" imports leads back to it

    Examples:
      | room      | below                                                                  |
      | resources | resources                                                              |
      | http      | http model problems resources                                          |
      | observing | observing problems                                                     |
      | answering | answering callerheaders gateway http model problems resources          |
      | capacity  | capacity                                                               |
      | checking  | checking util                                                          |
      | documents | documents checking clock jsoncodec platformlog quarantine retrybudget upstreams util |
      | upstreams | upstreams http jsoncodec model                                         |
      | membership | membership http jsoncodec model                                       |
      | rollouts  | rollouts                                                               |
      | quarantine | quarantine checking observing                                         |
      | direct    | direct http observing clock codec envelope leakybucket model problems quarantine resources retrybudget rollouts stopsignals supervisor transport |
      | platform  | platform direct http observing clock model periodic resources rollouts stopsignals strict supervisor util |

  Scenario: The adapter to the platform is at the edge
    Nothing but the command that starts it knows of it.
    Then no other room imports "platform"
