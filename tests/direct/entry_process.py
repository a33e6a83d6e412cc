"""Runs `bramleybend-entry` with a settings file, as the platform starts it.

With the address of the runners as a second argument, SIGUSR1 sets the path to
them to the state that is written in `<settings file>.path`, from the time on at
which that file exists.
"""

import os
import signal
import sys
from importlib import import_module
from pathlib import Path
from types import FrameType

from bramleybend.cli.entry_vm import ignore_reloads, run

OWN = 0


def _install_path_cuts(settings: str, runner_host: str) -> None:
    # Imported after the program's first step, as its libraries take a while.
    path_cuts = import_module('tests.utils.path_cuts')
    cuts = path_cuts.PathCuts(runner_host)
    cuts.install_for_all_loops()
    path_cuts.current_vm.set(OWN)

    control = Path(f'{settings}.path')

    def set_state(number: int, frame: FrameType | None) -> None:
        cuts.set_state(OWN, path_cuts.PathState(control.read_text()))

    signal.signal(signal.SIGUSR1, set_state)
    # Before this, the signal would end the process.
    control.write_text(path_cuts.PathState.INTACT)


if __name__ == '__main__':
    sys.argv, (settings, *hosts) = sys.argv[:1], sys.argv[1:]
    os.environ['BRAMLEYBEND_SETTINGS'] = settings
    ignore_reloads()
    if hosts:
        _install_path_cuts(settings, hosts[0])
    run()
