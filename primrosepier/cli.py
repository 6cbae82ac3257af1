"""The command line.

The module of a command is imported when the command runs, so that a router starts
fast.
"""

from collections.abc import Callable
from importlib import import_module

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from . import __version__

__all__ = ["COMMANDS", "main", "make_application"]

COMMANDS = {
    "apply": "commands_operate:ApplyCommand",
    "bench compare": "commands_bench_load:BenchCompareCommand",
    "bench decide": "commands_bench_policy:BenchDecideCommand",
    "bench experiment": "commands_bench_load:BenchExperimentCommand",
    "bench faults": "commands_bench_faults:BenchFaultsCommand",
    "bench load": "commands_bench_load:BenchLoadCommand",
    "bench policy": "commands_bench_policy:BenchPolicyCommand",
    "bench relay": "commands_bench_relay:BenchRelayCommand",
    "bench scale": "commands_bench_scale:BenchScaleCommand",
    "board-picture": "commands_metrics:BoardPictureCommand",
    "capacity-page": "commands_bench_scale:CapacityPageCommand",
    "check": "commands_operate:CheckCommand",
    "demo": "commands_demo:DemoCommand",
    "entry-router": "commands_entry:EntryRouterCommand",
    "explain": "commands_explain:ExplainCommand",
    "metrics-page": "commands_metrics:MetricsPageCommand",
    "placement": "commands_placement:PlacementCommand",
    "router": "commands_operate:RouterCommand",
    "standin engine": "commands_standin:StandinEngineCommand",
    "standin hosts": "commands_standin:StandinHostsCommand",
    "standin kvcache": "commands_standin:StandinKvCacheCommand",
    "standin service": "commands_standin:StandinServiceCommand",
    "standin store": "commands_standin:StandinStoreCommand",
    "standin weights": "commands_standin:StandinWeightsCommand",
    "status": "commands_status:StatusCommand",
    "timeline": "commands_explain:TimelineCommand",
    "trace generate": "commands_trace:TraceGenerateCommand",
    "trace replay": "commands_trace:TraceReplayCommand",
}


def _make_factory(import_path: str) -> Callable[[], Command]:
    module, _, name = import_path.partition(":")

    def make() -> Command:
        return getattr(import_module(f".{module}", __package__), name)()

    return make


def make_application() -> Application:
    """Return the command-line application with all commands."""
    application = Application("primrosepier", __version__)
    factories = {
        name: _make_factory(import_path) for name, import_path in COMMANDS.items()
    }
    application.set_command_loader(FactoryCommandLoader(factories))
    return application


def main() -> int:
    """Run the command line and return its exit code."""
    return make_application().run()
