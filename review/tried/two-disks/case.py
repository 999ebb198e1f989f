"""Two machines with a disk lose their disks at the same moment, as many as the grown deployments have to bear."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

from common.deployment import CannotRun, read_back, run_case, start_control_group, status_line, wait_for_leader

LOSSES = 2  # "To be borne at once: the loss of 2 of those with a disk"
DOWN_S = 1.0
RECOVERY_S = 15.0  # RecoveryS of the grown deployments
READ_BACK_S = 20.0


def body(deployment, record, has_trouble):
    operator = start_control_group(deployment, record, 3)
    time.sleep(2)
    # The machine that leads, and the one that comes after it in the operator's list.
    leader = wait_for_leader(deployment)
    if leader is None:
        raise CannotRun("no leader")
    first = deployment.machines.index(leader)
    lost = [deployment.machines[(first + i) % 3] for i in range(LOSSES)] if has_trouble else []
    for machine in lost:
        record(f"{machine.ip} loses power and its disk")
        machine.kill("control")
    for machine in lost:
        machine.wipe()
    time.sleep(DOWN_S)
    for machine in lost:
        machine.start("control")
        record(f"{machine.ip} is back with an empty disk")
    time.sleep(RECOVERY_S)
    record(status_line(deployment))
    return read_back(operator, record, 1, READ_BACK_S)


run_case(FOLDER, body)
