"""The command line."""

from cleo.application import Application

from . import __version__
from .commands_bench_faults import BenchFaultsCommand
from .commands_bench_load import (
    BenchCompareCommand,
    BenchExperimentCommand,
    BenchLoadCommand,
)
from .commands_bench_policy import BenchDecideCommand, BenchPolicyCommand
from .commands_bench_relay import BenchRelayCommand
from .commands_bench_scale import BenchScaleCommand, CapacityPageCommand
from .commands_demo import DemoCommand
from .commands_explain import ExplainCommand, TimelineCommand
from .commands_metrics import BoardPictureCommand, MetricsPageCommand
from .commands_operate import ApplyCommand, CheckCommand, RouterCommand
from .commands_standin import (
    StandinEngineCommand,
    StandinHostsCommand,
    StandinKvCacheCommand,
    StandinServiceCommand,
    StandinStoreCommand,
    StandinWeightsCommand,
)
from .commands_status import StatusCommand
from .commands_trace import TraceGenerateCommand, TraceReplayCommand

__all__ = ["main", "make_application"]

COMMANDS = (
    ApplyCommand,
    BenchFaultsCommand,
    BenchCompareCommand,
    BenchExperimentCommand,
    BenchLoadCommand,
    BenchDecideCommand,
    BenchPolicyCommand,
    BenchRelayCommand,
    BenchScaleCommand,
    BoardPictureCommand,
    CapacityPageCommand,
    CheckCommand,
    DemoCommand,
    ExplainCommand,
    MetricsPageCommand,
    RouterCommand,
    StandinEngineCommand,
    StandinHostsCommand,
    StandinKvCacheCommand,
    StandinServiceCommand,
    StandinStoreCommand,
    StandinWeightsCommand,
    TimelineCommand,
    StatusCommand,
    TraceGenerateCommand,
    TraceReplayCommand,
)


def make_application() -> Application:
    """Return the command line with all commands."""
    application = Application("primrosepier", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line and return its exit code."""
    return make_application().run()
