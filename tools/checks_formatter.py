"""Report of behave with the messages of all steps that did not pass."""

from behave.formatter.json import JSONFormatter
from behave.model import Step


class ChecksFormatter(JSONFormatter):
    """JSON report that also has the traceback of an error and the folders of kept logs.

    The original one has the messages of failed assertions only, so that the cause of an unexpected
    exception is lost with the run.
    """

    name = "checks"
    description = "JSON report with the messages of failed steps and of errors."

    def result(self, step: Step) -> None:
        """Add the result of a step to the report."""
        index = self._step_index
        super().result(step)
        if step.error_message:
            lines = step.error_message.splitlines()
            lines += [f"logs are kept in {path}" for path in getattr(step, "kept_folders", ())]
            self.current_feature_element["steps"][index]["result"]["error_message"] = lines
