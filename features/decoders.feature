Feature: Whatever comes from outside is decoded or refused
  Each decoder is given any bytes, any JSON, and sound values in which one thing is odd.

  Scenario Outline: <decoder> never raises
    Guards against a decoder that ends the loop of its reader.
    Then <decoder> returns or refuses any bytes, and what it returns can be encoded

    Examples:
      | decoder                  |
      | an upstream's record     |
      | an entry's record        |
      | a version's record       |
      | a crash's record         |
      | a quarantine's record    |
      | a burst credit's record  |
      | a batch of streams       |
      | a configuration          |
      | a roll-out order         |
      | a roll-out's status      |
      | a page of newest records |
      | a read of records        |
      | an expired offset        |
      | a reservation            |
      | a message of an entry    |
      | a document of the log    |
      | a settings file          |

  Scenario Outline: A bound that is <value>
    Guards against a reloaded file after which an entry refuses all requests.
    Then a bound of <value> is refused in a settings file

    Examples:
      | value |
      | nan   |
      | inf   |
      | 1e400 |
      | -1    |
