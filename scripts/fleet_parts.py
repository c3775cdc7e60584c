"""Helpers of scripts/fleet: a random schedule of faults, and the resource usage of processes."""
import os
import random


def random_faults(seed, seconds, fronts, engines):
    """Returns faults in the format of --fault: one core at a time, none in the last 12 s.

    Example: random_faults(7, 60, 9, 18) returns ["6.1:kill:primary", "9.3:start:all", ...].
    """
    random_source = random.Random(seed)
    faults, at = [], 4.0
    end = seconds - 14

    def core_kill(at, length):
        role = random_source.choice(["primary", "backup"])
        return [(at, "kill:" + role), (at + length, "start:all")], 3

    def core_wipe(at, length):
        return [(at, "wipe:core:%d" % random_source.randint(2, 4)), (at + 1, "start:all")], 20

    def core_stop(at, length):
        return [(at, "stop:primary"), (at + length, "cont:primary")], 3

    def core_cut(at, length):
        return [(at, "cut:core:%d" % random_source.randint(1, 4)), (at + length, "heal")], 4

    def core_disk(at, length):
        core = random_source.randint(1, 4)
        mode = random_source.choice(["slow", "stall", "full", "fail"])
        lines = [(at, "disk:core:%d:%s" % (core, mode)),
                 (at + length, "disk:core:%d:good" % core)]
        if mode == "fail":
            lines.append((at + length + 0.2, "restart:core:%d" % core))
        return lines, 4

    def power_loss(at, length):
        return [(at, "killall:x"), (at + 1, "start:all")], 8

    def front_fault(at, length):
        name = "front:%d" % random_source.randint(1, fronts)
        return random_source.choice([[(at, "kill:" + name), (at + length, "start:all")],
                                     [(at, "stop:" + name), (at + length, "cont:" + name)],
                                     [(at, "cut:" + name), (at + length, "heal")]]), 1

    def engine_fault(at, length):
        name = "engine:%d" % random_source.randint(1, engines)
        return random_source.choice([[(at, "kill:" + name), (at + length, "start:all")],
                                     [(at, "drain:" + name), (at + length, "undrain:" + name)]]), 1

    def operator_change(at, length):
        change = random_source.choice(["weights:w%d" % random_source.randint(1, 999),
                                       "withdraw:archive", "withdraw:trial"])
        return [(at, change)], 1

    kinds = [core_kill, core_wipe, core_stop, core_cut, core_disk, power_loss, front_fault,
             front_fault, engine_fault, operator_change]
    while at < end:
        lines, pause = random_source.choice(kinds)(at, random_source.uniform(1, 5))
        if lines[-1][0] > end:
            break
        faults += ["%.2f:%s" % line for line in lines]
        at = lines[-1][0] + pause + random_source.uniform(0, 2)
    return faults


def resource_usage(process, folder):
    """Returns a process's resident memory in kilobytes, its open files and its files on disk."""
    base = "/proc/%d" % process.child.pid
    with open(base + "/status") as status:
        resident = [int(line.split()[1]) for line in status if line.startswith("VmRSS")]
    data_folder = os.path.join(folder, process.name)
    return {"residentKilobytes": resident[0] if resident else 0,
            "openFiles": len(os.listdir(base + "/fd")),
            "diskFiles": len(os.listdir(data_folder)) if os.path.isdir(data_folder) else 0}


def peak_usage(processes, folder):
    """Returns the peak of each resource over the running daemons."""
    peak = {"residentKilobytes": 0, "openFiles": 0, "diskFiles": 0}
    for process in processes:
        if not process.is_alive():
            continue
        try:
            usage = resource_usage(process, folder)
        except (OSError, IndexError):
            continue
        peak = {kind: max(peak[kind], usage[kind]) for kind in peak}
    return peak
