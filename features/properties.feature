Feature: Properties of the cores under any order of messages
  Entry and agent cores share one process and one manual time. Which message is
  delivered next, duplicated or lost, which daemon is paused or restarted and how far
  time advances is chosen by a seeded generator. After every step: a request runs at
  most once, "not run" is never reported for one that ran, a caller's parts arrive in
  order with one final part, and no leaving agent dispatches. At the end all faults
  are cleared, and every caller whose entry survived has its final part.

  Scenario: Requests without a key
    Grants, refusals, revokes and pieces are lost, doubled and late; entries and
    agents are paused and restarted; upstreams refuse and break. An entry
    that is in doubt queries the agent, and never grants again what may have run.
    Then no promise to unkeyed requests is broken in any of 250 runs

  Scenario: Keys sent again while agents join, leave and die
    A key is sent once, then again through any entry, while the log is cut for
    some daemons, appends are lost, agents hand their keys over and new ones
    join. The first attempt may still wait in a paused entry. Within its
    lifetime a key runs once across all agents.
    Then no promise to keyed requests is broken in any of 400 runs

  Scenario: Keys that outlive the agents that ran them
    Agents whose answers have been taken are stopped, hand their keys over, then
    leave; others die with theirs; new ones join while entries can't read the
    roster. A re-send must find the run, or be told that its outcome is unknown.
    Then no promise to handed over keys is broken in any of 250 runs

  Scenario: Keys and leases that end
    Keys live slightly longer than the longest deadline and roster leases a few
    seconds, so claims, holds and roster records expire while requests wait. A key
    may run again only after its lifetime.
    Then no promise to short-lived keys is broken in any of 250 runs

  Scenario: A lower tier never waits while a higher one is shed
    Three entries fill their queues; floors are late, doubled and sometimes
    lost, but every peer lives and answers within its time. Whatever is shed,
    nothing lower is kept waiting at any of the entries.
    Then no tier is shed before a lower one in any of 250 runs

  Scenario: A roster read that ends after its round of claims gave up
    A first send is refused for its stamp and claims its key. The read of the
    roster is late: the round gives up, the request waits again and is granted.
    The end of the read must change nothing then: it once put the granted request
    into the queue a second time, for another agent to run.
    Then no promise is broken by these choices with short-lived keys
      """
      flow 0, jump 2, pause 2, send_first 1, jump 0, drop 4, send_first 1, flow 1,
      join 0, flow 4, flow 1, jump 1, advance 3, advance 3
      """

  Scenario: An agent renews its roster record after its lease
    An agent can't reach the log for longer than its lease and a key's lifetime,
    so the roster no longer names it. A re-send doesn't ask it for the key and runs
    elsewhere. Once back in the roster, the agent must refuse the first send, whose
    stamp is older: it once ran the key again.
    Then no promise is broken by these choices with short-lived keys
      """
      cut_log 2, jump 1, jump 2, flow 0, flow 1, send_first 1, send_again 1
      """

  Scenario: A floor above two tiers reaches the entries one after the other
    An entry full of the highest tier requests a floor. The peer that received it
    dropped the middle tier, while another, not yet reached, kept the lowest.
    Then no tier is shed before a lower one by these choices
      """
      send_some 1, local 0, send_some 14, send_some 1, send_some 9, send_some 14,
      send_some 14, send_some 14
      """

  Scenario: A request refused for its key comes back below a floor
    A keyed request of the lowest tier was granted when a peer's floor came. The
    agent refuses it for its stamp. It must not claim its key and wait again: the
    peer sheds a higher tier on the assumption that no lower one waits.
    When a granted keyed request is refused for its stamp below a peer's floor
    Then its caller is told that it was shed and may have run elsewhere
