"""Ends the processes of each scenario, whatever its outcome."""

import logging


def before_scenario(context, scenario):
    # urllib3 warns of each refused connection, which tests provoke on purpose.
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def after_scenario(context, scenario):
    stage = getattr(context, "stage", None)
    if stage is not None:
        stage.stop()
        context.stage = None
