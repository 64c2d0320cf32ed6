"""A change of the configuration adds routes; jobs on them are refused with 404."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lab-2"))
import lab as lab_2  # noqa: E402

STEPS = [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 60}]
CONFIG_APPLY_S = 2.0
# Host and path prefix of the added routes.
ADDED = [("Ficu95.example", "/pufi791/"), ("ficu95.example", "/pule252-")]


def route(lab, name, host, prefix):
    return {
        "name": name, "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 1500,
        "target-latency-ms": 60, "priority": 0, "service": lab.service, "max-attempts": 3, "stretch": 1.6,
    }


async def play(lab, trouble):
    await lab.begin(["a"] * 3)
    first = [route(lab, "r-1", lab.host, "/lohu930/")]
    if trouble:
        lab.put_config(9, first + [route(lab, "r-%d" % (i + 2), *added) for i, added in enumerate(ADDED)])
    # Later than the bound, and in touch all the while.
    await asyncio.sleep(CONFIG_APPLY_S + 3.0)
    broken = []
    for entry in lab.entries:
        answer = await lab.submit(entry, lab.new_id(), STEPS)
        if not answer or answer[0] != 200:
            raise lab_2.NotRun("the first route is not served")
        for host, prefix in ADDED if trouble else []:
            answer = await lab.submit(entry, lab.new_id(), STEPS, path=prefix, host=host)
            if answer and answer[0] == 404:
                broken.append("%s refuses a job on host %s, prefix %s with 404" % (entry.name, host, prefix))
    return broken


lab_2.main(HERE, play, agents=3)
