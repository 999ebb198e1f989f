"""A control machine is lost for good and replaced; a second one loses its disk when the loss has stopped counting."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from common.deployment import (CannotRun, configuration, read_back, run_case, start_control_group, status_line,
                               wait_for_leader)

SUCCESSOR_AFTER_S = 1.0  # replace_core: "an empty one comes x s (1) later at another address"
CATCH_UP_S = 4.0  # CatchUpS, counted from the start of the successor
MARGIN_S = 0.3
SECOND_DOWN_S = 1.0
READ_BACK_S = 20.0


def body(deployment, record, has_trouble):
    operator = start_control_group(deployment, record, 3)
    time.sleep(2)
    lost = wait_for_leader(deployment)
    if lost is None:
        raise CannotRun("no leader")
    zone = lost.zone
    if has_trouble:
        record(f"{lost.ip} is lost for good")
        lost.kill("control")
        operator.machines = [machine for machine in deployment.machines if machine is not lost]
    else:
        # Planned: the successor comes first, and the machine stops in time.
        record(f"{lost.ip} stays")
    time.sleep(SUCCESSOR_AFTER_S)
    successor = deployment.add_machine(20, zone)
    # The settings name three machines that serve control at that time.
    deployment.seeds = [m.ip for m in deployment.machines if m.is_running("control")][:3]
    successor.start("control")
    if has_trouble:
        operator.machines.append(successor)
    started = time.monotonic()
    record(f"{successor.ip} starts in its place, with an empty disk, seeds {deployment.seeds}")
    ip, status, answer = operator.order("PUT", "/config", configuration(2, 3))
    record(f"PUT version 2: {status} from {ip}")
    if status != 200:
        raise CannotRun(f"version 2 was not accepted: {status} {answer!r}")
    time.sleep(max(0.0, started + CATCH_UP_S + MARGIN_S - time.monotonic()))
    second = wait_for_leader(deployment)
    if second is None:
        raise CannotRun("no leader before the second loss")
    record(f"{time.monotonic() - started:.1f} s after the start of the successor; {status_line(deployment)}")
    if has_trouble:
        record(f"{second.ip} loses power and its disk")
        second.kill("control")
        second.wipe()
        time.sleep(SECOND_DOWN_S)
        second.start("control")
        record(f"{second.ip} is back with an empty disk")
    time.sleep(15)
    record(status_line(deployment))
    return read_back(operator, record, 2, READ_BACK_S)


run_case(FOLDER, body)
