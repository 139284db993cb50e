"""The tables of docs/CAPACITY.md, worked out from the slopes of the last run.

    python -m bench.capacity

Nothing is measured here: each figure is a rate, from the letter or stated
below, times a slope of out/slopes.jsonl.
"""

import json

import attrs

from bench.points import CHECK_EVERY_S
from bench.slopes import OUT
from lavenderspoke.entrycore import ANNOUNCE_EVERY

DAY_S = 86_400
CPU_BUDGET_PERCENT = 1.8
MEMORY_BUDGET_MB = 128
BYTES_BUDGET_PER_S = 8 * 1024
# An agent hears an entry's demand at each heartbeat, its announcement less often.
MESSAGES_A_BEAT = 1 + 1 / ANNOUNCE_EVERY
MEGABYTE = 1024 * 1024
PERCENT_PER_US_PER_S = 100 / 1e6


@attrs.frozen(kw_only=True)
class Size:
    """A deployment's size; rates are for the whole, at the peak."""

    name: str
    entries: int
    agents: int
    engines: int
    requests_per_s: float
    tokens_per_s: float
    seconds_between_tokens: float
    services: int
    customers_per_service: int
    documents_per_day: float
    restarts_per_day: float
    entries_per_agent: int = 8
    heartbeat_s: float = 0.5
    checks_per_s: float = 1 / CHECK_EVERY_S
    roster_renew_s: float = 300.0
    members_poll_s: float = 2.0
    bytes_per_request_body: int = 1500

    @property
    def answer_s(self) -> float:
        """How long one answer streams."""
        return self.tokens_per_s / self.requests_per_s * self.seconds_between_tokens

    @property
    def agents_per_entry(self) -> float:
        """How many agents an entry hears."""
        return self.agents * min(self.entries, self.entries_per_agent) / self.entries

    @property
    def entries_of_agent(self) -> int:
        """How many entries an agent speaks to."""
        return min(self.entries, self.entries_per_agent)


TARGET = Size(
    name="target",
    entries=100,
    agents=2000,
    engines=10_000,
    requests_per_s=130_000,
    tokens_per_s=38e6,
    seconds_between_tokens=0.044,
    services=14,
    customers_per_service=340,
    documents_per_day=14_000,
    restarts_per_day=2571,
)
# Today's pages give engines and customers but no rates: the rates are what so
# many engines of 16 slots at one token a step could make at the most.
SENDEROS = Size(
    name="Senderos Vivos",
    entries=4,
    agents=14,
    engines=14,
    requests_per_s=14 * 16 / 0.004 / 300,
    tokens_per_s=14 * 16 / 0.004,
    seconds_between_tokens=0.004,
    services=2,
    customers_per_service=5,
    documents_per_day=50,
    restarts_per_day=20,
)
HERITAGE = Size(
    name="Omani Heritage",
    entries=3,
    agents=8,
    engines=8,
    requests_per_s=5 * 16 / 0.0035 / 300,
    tokens_per_s=5 * 16 / 0.0035,
    seconds_between_tokens=0.0035,
    services=2,
    customers_per_service=5,
    documents_per_day=50,
    restarts_per_day=20,
)


class Slopes:
    """The slopes and message sizes of the last run."""

    def __init__(self):
        lines = (OUT / "slopes.jsonl").read_text().splitlines()
        records = {record["name"]: record for record in map(json.loads, lines)}
        self._slopes = {
            name: record["slope"]
            for name, record in records.items()
            if "slope" in record
        }
        self.bytes = records["message_bytes"]

    def __getitem__(self, name: str) -> float:
        return max(0.0, self._slopes[name])


@attrs.frozen(kw_only=True)
class Line:
    """One line of a table: what, at which rate, and what it comes to."""

    what: str
    per_s: float
    each: float
    unit: str

    @property
    def total(self) -> float:
        """The rate times the cost, in the unit of the table."""
        return self.per_s * self.each


def cpu(what: str, per_s: float, each_us: float) -> Line:
    """Return a line in percent of a core."""
    return Line(
        what=what, per_s=per_s, each=each_us * PERCENT_PER_US_PER_S, unit="% core"
    )


def traffic(what: str, per_s: float, each_bytes: float) -> Line:
    """Return a line in bytes a second."""
    return Line(what=what, per_s=per_s, each=each_bytes, unit="B/s")


def memory(what: str, count: float, each_bytes: float) -> Line:
    """Return a line in megabytes."""
    return Line(what=what, per_s=count, each=each_bytes / MEGABYTE, unit="MB")


def document_us(size: Size, slopes: Slopes) -> float:
    """Return the processor time of one document change at one daemon."""
    parse_us = slopes["document_parse"] * size.customers_per_service
    return parse_us + slopes["entry_document_change"]


def document_bytes(size: Size, slopes: Slopes) -> float:
    """Return the bytes of one document."""
    return slopes.bytes["document_340_customers"] / 340 * size.customers_per_service


def announced_bytes(size: Size, slopes: Slopes) -> float:
    """Return the bytes of an entry's announcement, which lists its services."""
    one = slopes.bytes["entry_announce_1_service"]
    more = (slopes.bytes["entry_announce_14_services"] - one) / 13
    return one + more * (size.services - 1)


def entry_control_cpu(size: Size, slopes: Slopes) -> list[Line]:
    """Return what control costs an entry's processor."""
    beats = 1 / size.heartbeat_s
    heard = slopes["entry_agent_heartbeat"] + slopes["transport_pull"] / 2
    sent = slopes["transport_pull"] / 2
    roster = size.agents / size.roster_renew_s + 2 * size.restarts_per_day / DAY_S
    documents = size.documents_per_day / DAY_S
    return [
        cpu("announcements of agents, heard", size.agents_per_entry * beats, heard),
        cpu(
            "its own, to agents (with demand)",
            size.agents_per_entry * beats,
            slopes["entry_heartbeat_agents"] + MESSAGES_A_BEAT * sent,
        ),
        cpu(
            "its own, to the other entries, and theirs",
            (size.entries - 1) * beats,
            slopes["entry_heartbeat_peers"] + 2 * sent,
        ),
        cpu("roster records, folded", roster, slopes["roster_record"]),
        cpu("documents, parsed and put in force", documents, document_us(size, slopes)),
        cpu(
            "timers of the requests held",
            size.checks_per_s * held_per_entry(size),
            slopes["entry_check_held"],
        ),
    ]


def held_per_entry(size: Size) -> float:
    """Return the requests that an entry holds at once."""
    return size.requests_per_s * size.answer_s / size.entries


def entry_data_cpu(size: Size, slopes: Slopes) -> list[Line]:
    """Return what requests and tokens cost an entry, without the callers' HTTP."""
    requests = size.requests_per_s / size.entries
    messages = 4 * slopes["transport_pull"] / 2 + slopes["codec_grant"] / 2
    piece = slopes["entry_piece"] + slopes["transport_pieces"] / 20 / 2
    return [
        cpu(
            "requests, admitted, queued, granted, answered",
            requests,
            slopes["entry_request"],
        ),
        cpu("their messages", requests, messages),
        cpu("tokens, received and passed on", size.tokens_per_s / size.entries, piece),
    ]


def agent_control_cpu(size: Size, slopes: Slopes) -> list[Line]:
    """Return what control costs an agent's processor."""
    beats = size.entries_of_agent / size.heartbeat_s
    documents = size.documents_per_day / DAY_S
    half = slopes["transport_pull"] / 2
    return [
        cpu("its announcements", beats, slopes["agent_heartbeat_entries"] + half),
        cpu(
            "announcements and demand of entries, heard",
            MESSAGES_A_BEAT * beats,
            slopes["agent_entry_heartbeat"] + half,
        ),
        cpu("documents, parsed and put in force", documents, document_us(size, slopes)),
    ]


def agent_data_cpu(size: Size, slopes: Slopes) -> list[Line]:
    """Return what requests and tokens cost an agent, without its upstream's HTTP."""
    requests = size.requests_per_s / size.agents
    messages = 4 * slopes["transport_pull"] / 2 + slopes["codec_grant"] / 2
    token = slopes["agent_token"] + slopes["transport_pieces"] / 20 / 2
    return [
        cpu("requests, pulled, accepted, answered", requests, slopes["agent_request"]),
        cpu("their messages", requests, messages),
        cpu("tokens, held and sent on", size.tokens_per_s / size.agents, token),
    ]


def entry_bytes(size: Size, slopes: Slopes) -> list[Line]:
    """Return the control bytes that an entry sends and receives."""
    beats = 1 / size.heartbeat_s
    announce = announced_bytes(size, slopes)
    per_request = sum(
        slopes.bytes[name] for name in ("pull", "pull_done", "granted", "answer_taken")
    )
    documents = size.documents_per_day / DAY_S
    return [
        traffic(
            "announcements of agents, heard",
            size.agents_per_entry * beats,
            slopes.bytes["announce"],
        ),
        traffic(
            "its own and demand, to agents",
            size.agents_per_entry * beats,
            announce / ANNOUNCE_EVERY + slopes.bytes["demand"],
        ),
        traffic(
            "announcements between entries, both ways",
            2 * (size.entries - 1) * beats,
            announce,
        ),
        traffic(
            "documents, read from the log", documents, document_bytes(size, slopes)
        ),
        members_read(size, slopes),
        traffic(
            "pull, answer, acceptance, receipt of each request",
            size.requests_per_s / size.entries,
            per_request,
        ),
        traffic(
            "prefixes told by agents after an answer, at the most",
            size.requests_per_s / size.entries * size.entries_of_agent,
            slopes.bytes["prefix_held_8"],
        ),
    ]


def members_read(size: Size, slopes: Slopes) -> Line:
    """Return the member list, which names every daemon and is read whole."""
    listed = (size.entries + size.agents) * slopes.bytes["listed_member"]
    return traffic("the member list, read whole", 1 / size.members_poll_s, listed)


def agent_bytes(size: Size, slopes: Slopes) -> list[Line]:
    """Return the control bytes that an agent sends and receives."""
    beats = size.entries_of_agent / size.heartbeat_s
    requests = size.requests_per_s / size.agents
    per_request = sum(
        slopes.bytes[name] for name in ("pull", "pull_done", "granted", "answer_taken")
    )
    documents = size.documents_per_day / DAY_S
    return [
        traffic("its announcements", beats, slopes.bytes["announce"]),
        traffic(
            "announcements and demand of entries, heard",
            beats,
            announced_bytes(size, slopes) / ANNOUNCE_EVERY + slopes.bytes["demand"],
        ),
        traffic(
            "documents, read from the log", documents, document_bytes(size, slopes)
        ),
        members_read(size, slopes),
        traffic(
            "pull, answer, acceptance, receipt of each request", requests, per_request
        ),
        traffic(
            "prefixes told after an answer, at the most",
            requests * size.entries_of_agent,
            slopes.bytes["prefix_held_8"],
        ),
    ]


def entry_memory(size: Size, slopes: Slopes) -> list[Line]:
    """Return what an entry holds."""
    requests = held_per_entry(size)
    return [
        memory("the program, idle", 1, slopes["entry_program_memory"]),
        memory(
            "requests held, waiting or running",
            requests,
            slopes["entry_waiting_memory"],
        ),
        memory("agents known", size.agents_per_entry, slopes["entry_agent_memory"]),
        memory(
            "connections to agents and entries",
            size.agents_per_entry + size.entries - 1,
            slopes["transport_peer_memory"],
        ),
        memory(
            "services, 340 customers each" if size is TARGET else "services",
            size.services * size.customers_per_service / 340,
            slopes["entry_service_memory"],
        ),
        memory(
            "prefixes believed held", 50_000 * size.services, slopes["sketch_memory"]
        ),
        memory(
            "lives in the roster",
            size.agents + size.restarts_per_day,
            slopes["roster_memory"],
        ),
    ]


def agent_memory(size: Size, slopes: Slopes) -> list[Line]:
    """Return what an agent holds; a tenth of the requests are taken as keyed."""
    requests = size.requests_per_s / size.agents
    return [
        memory("the program, idle", 1, slopes["agent_program_memory"]),
        memory(
            "keys held for 600 s, a tenth of requests",
            requests * 60,
            slopes["agent_key_memory"],
        ),
        memory("runs remembered for 120 s", requests * 120, slopes["agent_run_memory"]),
        memory(
            "connections to entries",
            size.entries_of_agent,
            slopes["transport_peer_memory"],
        ),
    ]


def print_table(title: str, lines: list[Line], budget: float | None) -> None:
    """Print lines as a Markdown table with their sum."""
    unit = lines[0].unit
    print(
        f"\n{title}\n\n| line | at the rate or count | {unit} |\n| --- | ---: | ---: |"
    )
    for line in lines:
        print(f"| {line.what} | {line.per_s:,.2f} | {line.total:,.2f} |")
    total = sum(line.total for line in lines)
    verdict = (
        "" if budget is None else f" (budget {budget:,g}: {total / budget:,.1f} times)"
    )
    print(f"| **sum** | | **{total:,.2f}**{verdict} |")


def print_size(size: Size, slopes: Slopes) -> None:
    """Print all tables of a size."""
    print(f"\n## {size.name}: {size.entries} entries, {size.agents} agents")
    print(
        f"\nAn entry: {size.requests_per_s / size.entries:,.0f} requests/s,"
        f" {size.tokens_per_s / size.entries:,.0f} tokens/s,"
        f" {held_per_entry(size):,.0f} held at once; an agent:"
        f" {size.requests_per_s / size.agents:,.0f} requests/s,"
        f" {size.tokens_per_s / size.agents:,.0f} tokens/s."
    )
    print_table(
        "Entry, control, processor", entry_control_cpu(size, slopes), CPU_BUDGET_PERCENT
    )
    print_table(
        "Entry, requests and tokens, processor", entry_data_cpu(size, slopes), None
    )
    print_table("Entry, control bytes", entry_bytes(size, slopes), BYTES_BUDGET_PER_S)
    print_table("Entry, memory", entry_memory(size, slopes), MEMORY_BUDGET_MB)
    print_table(
        "Agent, control, processor", agent_control_cpu(size, slopes), CPU_BUDGET_PERCENT
    )
    print_table(
        "Agent, requests and tokens, processor", agent_data_cpu(size, slopes), None
    )
    print_table("Agent, control bytes", agent_bytes(size, slopes), BYTES_BUDGET_PER_S)
    print_table("Agent, memory", agent_memory(size, slopes), MEMORY_BUDGET_MB)


def main() -> None:
    """Print the tables of the target and of today's deployments."""
    slopes = Slopes()
    for size in (TARGET, SENDEROS, HERITAGE):
        print_size(size, slopes)


if __name__ == "__main__":
    main()
