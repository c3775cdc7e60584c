"""Parts of scripts/fleet: a drawn schedule of faults, and what processes take of the machine."""
import os
import random


def drawn_faults(seed, seconds, fronts, engines):
    """Faults in fleet's own words, never two core machines at once; the last 12 s are quiet.

    Example: drawn_faults(7, 60, 9, 18) gives ["6.1:kill:primary", "9.3:start:all", ...].
    """
    draw = random.Random(seed)
    faults, at = [], 4.0
    end = seconds - 14

    def core_kill(at, length):
        return [(at, "kill:" + draw.choice(["primary", "backup"])), (at + length, "start:all")], 3

    def core_wipe(at, length):
        return [(at, "wipe:core:%d" % draw.randint(2, 4)), (at + 1, "start:all")], 20

    def core_stop(at, length):
        return [(at, "stop:primary"), (at + length, "cont:primary")], 3

    def core_cut(at, length):
        return [(at, "cut:core:%d" % draw.randint(1, 4)), (at + length, "heal")], 4

    def core_disk(at, length):
        core, mode = draw.randint(1, 4), draw.choice(["slow", "stall", "full", "fail"])
        lines = [(at, "disk:core:%d:%s" % (core, mode)),
                 (at + length, "disk:core:%d:good" % core)]
        if mode == "fail":
            lines.append((at + length + 0.2, "restart:core:%d" % core))
        return lines, 4

    def power(at, length):
        return [(at, "killall:x"), (at + 1, "start:all")], 8

    def front_trouble(at, length):
        name = "front:%d" % draw.randint(1, fronts)
        return draw.choice([[(at, "kill:" + name), (at + length, "start:all")],
                            [(at, "stop:" + name), (at + length, "cont:" + name)],
                            [(at, "cut:" + name), (at + length, "heal")]]), 1

    def engine_trouble(at, length):
        name = "engine:%d" % draw.randint(1, engines)
        return draw.choice([[(at, "kill:" + name), (at + length, "start:all")],
                            [(at, "drain:" + name), (at + length, "undrain:" + name)]]), 1

    def operator(at, length):
        return [(at, draw.choice(["weights:w%d" % draw.randint(1, 999), "withdraw:archive",
                                  "withdraw:trial"]))], 1

    kinds = [core_kill, core_wipe, core_stop, core_cut, core_disk, power, front_trouble,
             front_trouble, engine_trouble, operator]
    while at < end:
        lines, quiet = draw.choice(kinds)(at, draw.uniform(1, 5))
        if lines[-1][0] > end:
            break
        faults += ["%.2f:%s" % line for line in lines]
        at = lines[-1][0] + quiet + draw.uniform(0, 2)
    return faults


def level(process, folder):
    """What one process takes now: resident kilobytes, open files, files on its disk."""
    base = "/proc/%d" % process.child.pid
    with open(base + "/status") as status:
        resident = [int(line.split()[1]) for line in status if line.startswith("VmRSS")]
    own = os.path.join(folder, process.name)
    return {"residentKilobytes": resident[0] if resident else 0,
            "openFiles": len(os.listdir(base + "/fd")),
            "diskFiles": len(os.listdir(own)) if os.path.isdir(own) else 0}


def highest(processes, folder):
    """The highest level of each kind over the fleet's daemons; those that just ended don't count."""
    most = {"residentKilobytes": 0, "openFiles": 0, "diskFiles": 0}
    for process in processes:
        if not process.alive():
            continue
        try:
            now = level(process, folder)
        except (OSError, IndexError):
            continue
        most = {kind: max(most[kind], now[kind]) for kind in most}
    return most
