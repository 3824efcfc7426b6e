"""Run the command line interface."""

from carawayvale.commands.main import run

if __name__ == "__main__":
    run()
