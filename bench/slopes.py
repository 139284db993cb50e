"""`make slopes`: what each request, token, peer and so on costs a daemon.

Every point runs in a fresh process, so that no memory is left over from another.
Processor time is time.process_time, memory the growth of the resident set. The
points go to out/slopes-points.jsonl and the fitted lines to out/slopes.jsonl.

    python -m bench.slopes [NAME...]
"""

import gc
import json
import os
import pathlib
import platform
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import psutil

from bench import driven, points
from bench.fit import fit_line
from bench.points import SLOPES, Slope, Unit
from lavenderspoke.envelope import Envelope
from lavenderspoke.messagecodec import CODEC

OUT = pathlib.Path("out")
REPEATS = 5
# Points measured at a time; few, so that they don't disturb each other.
AT_ONCE = 3
POINT_TIMEOUT_S = 60.0
MICROSECONDS = 1e6


def measure(slope: Slope, size: int) -> float:
    """Return the processor time in seconds, or the growth in bytes, of a point."""
    work = slope.point(size)
    gc.collect()
    if slope.unit is Unit.CPU_US:
        began_s = time.process_time()
        work()
        return time.process_time() - began_s
    process = psutil.Process()
    before = process.memory_info().rss
    held = work()
    gc.collect()
    grown = process.memory_info().rss - before
    del held
    return float(grown)


def measure_apart(slope: Slope, size: int) -> float:
    """Measure a point in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.slopes", "--point", slope.name, str(size)],
        capture_output=True,
        text=True,
        check=True,
        timeout=POINT_TIMEOUT_S,
    )
    return float(done.stdout)


def measure_slope(slope: Slope) -> tuple[list[dict], dict]:
    """Return all points of a slope, and the line through the least of each size."""
    sizes = list(slope.sizes) * REPEATS
    with ThreadPoolExecutor(max_workers=AT_ONCE) as pool:
        values = pool.map(lambda size: measure_apart(slope, size), sizes)
    found = [
        {"name": slope.name, "size": size, "value": value}
        for size, value in zip(sizes, values)
    ]
    scale = MICROSECONDS if slope.unit is Unit.CPU_US else 1.0
    # Other work on the machine only ever adds, so the least of each size counts.
    least = [
        min(point["value"] for point in found if point["size"] == size)
        for size in slope.sizes
    ]
    fit = fit_line(slope.sizes, [value * scale / slope.repeats for value in least])
    line = {
        "name": slope.name,
        "what": slope.what,
        "unit": slope.unit.value,
        "sizes": slope.sizes,
        **attrs.asdict(fit),
    }
    return found, line


def message_sizes() -> dict[str, int]:
    """Return the bytes of the messages that the page counts, as encoded."""
    samples = {
        "announce": driven.announce(1),
        "entry_announce_1_service": driven.entry_announce(2, services=1),
        "entry_announce_14_services": driven.entry_announce(2, services=14),
        "grant": points.some_grant(),
        "pieces_1": points.some_pieces(1),
        "pieces_20": points.some_pieces(20),
        **points.small_messages(),
    }
    return {
        name: len(
            CODEC.encode(
                Envelope(
                    sender=driven.ENTRY, recipient=driven.agent_id(1), message=message
                )
            )
        )
        for name, message in samples.items()
    }


def machine() -> dict:
    """Return what the figures were measured on."""
    return {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "memory_gb": round(psutil.virtual_memory().total / 2**30),
        "load_1m": os.getloadavg()[0],
    }


def main(names: list[str]) -> None:
    """Measure the named slopes, or all of them, and print the lines."""
    OUT.mkdir(exist_ok=True)
    chosen = [SLOPES[name] for name in names or SLOPES]
    write("slopes.jsonl", fixed(), "name")
    print(json.dumps(machine()))
    print(f"{'slope':26} {'each':>12} {'± error':>10} {'R2':>6}  what")
    for slope in chosen:
        measured, line = measure_slope(slope)
        write("slopes-points.jsonl", measured, "name")
        write("slopes.jsonl", [line], "name")
        print(
            f"{slope.name:26} {line['slope']:9.2f} {line['unit'][:2]:2}"
            f" {line['error']:10.2f} {line['r_squared']:6.3f}  {slope.what}",
            flush=True,
        )


def fixed() -> list[dict]:
    """Return what has no slope: the machine, message sizes, the idle programs."""
    sizes = message_sizes()
    sizes["document_340_customers"] = len(points.document_text(340))
    sizes["listed_member"] = len(json.dumps(points.LISTED_MEMBER))
    return [
        {"name": "machine", **machine()},
        {"name": "message_bytes", **sizes},
        {
            "name": "entry_program_memory",
            "slope": program_memory("lavenderspoke.entry"),
        },
        {
            "name": "agent_program_memory",
            "slope": program_memory("lavenderspoke.agent"),
        },
    ]


def program_memory(module: str) -> int:
    """Return the resident bytes of a process that has imported a daemon."""
    code = f"import {module}, psutil; print(psutil.Process().memory_info().rss)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return int(done.stdout)


def write(name: str, records: list[dict], key: str) -> None:
    """Write JSON lines to the output directory, over those of the same names."""
    path = OUT / name
    known = path.read_text().splitlines() if path.exists() else []
    new = {record[key] for record in records}
    kept = [each for each in map(json.loads, known) if each.get(key) not in new]
    path.write_text("".join(json.dumps(each) + "\n" for each in [*kept, *records]))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--point"]:
        print(measure(SLOPES[sys.argv[2]], int(sys.argv[3])))
    else:
        main(sys.argv[1:])
