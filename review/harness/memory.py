"""End processes that exceed the memory of their machine, as the platform."""

import asyncio
from pathlib import Path
import signal

from review.harness.deployment import Deployment
from review.harness.fleet import Instance
from review.harness.fleet import RESTART_DELAY_S

CHECK_INTERVAL_S = 0.05
# Ends by themselves, on two machines or a tenth of them, that break the rule.
ENDS = 3
MACHINES = 2


def private_mb(pid: int) -> float:
    """Return the memory that a process has for itself alone."""
    total = 0
    for line in Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines():
        if line.startswith(('Private_Clean:', 'Private_Dirty:')):
            total += int(line.split()[1])
    return total / 1024


class MemoryWatch:
    """Kills what exceeds its memory, starts it again and counts the ends."""

    def __init__(self, deployment: Deployment, limit_mb: int) -> None:
        self.deployment = deployment
        self.limit_mb = limit_mb
        self.ends = {m.name: 0 for m in deployment.machines}
        self.peak_mb = {m.name: 0 for m in deployment.machines}

    async def watch(self, machine: Instance) -> None:
        """Watch a machine's process until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            process = machine.process
            assert process is not None
            if process.returncode is None:
                try:
                    used_mb = round(private_mb(process.pid))
                except OSError:
                    continue
                peak_mb = max(self.peak_mb[machine.name], used_mb)
                self.peak_mb[machine.name] = peak_mb
                if used_mb <= self.limit_mb:
                    continue
                self.deployment.log(
                    f'{machine.name} uses {used_mb} MB of its'
                    f' {self.limit_mb} MB and is killed'
                )
                machine.signal(signal.SIGKILL)
            else:
                self.deployment.log(f'{machine.name} has ended by itself')
            await machine.wait_ended()
            self.ends[machine.name] += 1
            await asyncio.sleep(RESTART_DELAY_S)
            await machine.start()

    @property
    def is_rule_broken(self) -> bool:
        """Return whether processes have ended too often."""
        often = [count for count in self.ends.values() if count >= ENDS]
        return len(often) >= max(MACHINES, len(self.ends) // 10)
