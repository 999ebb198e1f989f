"""Machines lose their disks one after the other, each when the one before has been back for long enough."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from common.deployment import (CannotRun, configuration, read_back, run_case, start_control_group, status_line,
                               wait_for_leader)

ROUTES = int(os.environ.get("ROUTES", "1093"))  # 43 and three times 350 more
CHANGES = int(os.environ.get("CHANGES", "200"))
LOSSES = 3
DOWN_S = 1.0
# A machine counts as lost for CatchUpS (4 s) after it is back. Another ContactMs (3 s) is left, as the bench does.
APART_S = 7.5
READ_BACK_S = 20.0


def body(deployment, record, has_trouble):
    operator = start_control_group(deployment, record, ROUTES)
    version = 1
    for version in range(2, CHANGES + 2):
        ip, status, answer = operator.order("PUT", "/config", configuration(version, ROUTES), timeout=2.0)
        if status != 200:
            raise CannotRun(f"version {version} was not accepted: {status} {answer!r}")
    record(f"PUT versions 2 to {version}: each 200, the last from {ip}")
    for machine in deployment.machines:
        log = os.path.getsize(os.path.join(machine.data, "log")) / 1e6
        record(f"{machine.ip}: log {log:.0f} MB, memory {machine.rss_mb('control'):.0f} MB")
    for number in range(LOSSES if has_trouble else 0):
        leader = wait_for_leader(deployment)
        if leader is None:
            record("there is no leader any more")
            break
        record(f"loss {number + 1}: {leader.ip} loses power and its disk; {status_line(deployment)}")
        leader.kill("control")
        leader.wipe()
        time.sleep(DOWN_S)
        leader.start("control")
        record(f"{leader.ip} is back with an empty disk")
        time.sleep(APART_S)
    record(status_line(deployment))
    return read_back(operator, record, version, READ_BACK_S)


run_case(FOLDER, body)
