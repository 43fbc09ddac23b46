"""Load generator process of the ``overload`` benchmark."""

from gevent import monkey

monkey.patch_all()

import json
import sys
import time
from dataclasses import asdict

from persimmonyoke_cli.bench.mix_client import Arrival, Callers


def main(path: str) -> int:
    """Send the requests of a plan file and print the outcomes as JSON."""
    with open(path, encoding="utf-8") as file:
        plan = json.load(file)
    planned = [Arrival(*fields) for fields in plan["arrivals"]]
    callers = Callers(
        tuple(plan["addresses"]), plan["model"], plan["key"], plan["seed"]
    )
    wall_s, cpu_s = time.monotonic(), time.process_time()
    outcomes = callers.run(planned)
    cpu_share = (time.process_time() - cpu_s) / (time.monotonic() - wall_s)
    json.dump(
        {"cpu_share": cpu_share, "outcomes": [asdict(o) for o in outcomes]}, sys.stdout
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
