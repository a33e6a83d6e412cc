"""Runs `bramleybend-entry` with a settings file, as the platform starts it."""

import os
import sys

from bramleybend.cli.entry_vm import run

if __name__ == '__main__':
    os.environ['BRAMLEYBEND_SETTINGS'] = sys.argv.pop()
    run()
