"""Operators' declarative configuration files and the merged configuration."""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from .decoding import decode_json
from .errors import ConfigurationError
from .ids import (
    AdapterId,
    EndpointId,
    FailureDomain,
    ModelId,
    ServiceId,
    WeightsVersion,
    WorkspaceId,
)
from .ini import SectionReader, parse_ini

__all__ = [
    "Configuration",
    "Endpoint",
    "Model",
    "Service",
    "ServiceKind",
    "Workspace",
    "decode_configuration",
    "encode_configuration",
    "find_workspace",
    "hash_api_key",
    "load_configuration",
    "parse_configuration",
]

SHA256_HEX_DIGITS = 64


class ServiceKind(Enum):
    """Kind of the endpoints of a service."""

    ENGINE = "engine"
    CACHE = "cache"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Workspace:
    """Owner of API keys, limits and cached prefixes.

    Parameters
    ----------
    key_sha256 : tuple of str
        Hex digests of the callers' API keys.
    requests_per_s : float
        Limit over all routers; 0 for none.
    concurrent : int
        Maximum number of requests in progress over all routers; 0 for no limit.
    weight : float
        Weight in fair queueing.
    """

    id: WorkspaceId
    key_sha256: tuple[str, ...]
    requests_per_s: float = 0.0
    concurrent: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Model:
    """A model and the weights version that its replicas should load."""

    id: ModelId
    version: WeightsVersion
    adapters: tuple[AdapterId, ...] = ()
    context_tokens: int = 32768


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable endpoints.

    Parameters
    ----------
    loads_at_once : int
        Maximum number of replicas out of service at once to load weights; 0 pauses
        the rollout.
    not_repeatable : tuple of str
        Non-idempotent calls of a plain service, ``"METHOD /path"``; run at most once.
    """

    id: ServiceId
    kind: ServiceKind
    models: tuple[ModelId, ...] = ()
    loads_at_once: int = 1
    not_repeatable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A process that serves requests, and the features that it supports.

    Parameters
    ----------
    priorities, resume, fencing : bool
        Whether the endpoint supports request priorities, can continue a stream and
        checks the fencing numbers of orders.
    concurrent : int
        Capacity in concurrent requests.
    """

    id: EndpointId
    service: ServiceId
    address: str
    failure_domain: FailureDomain
    priorities: bool = True
    resume: bool = True
    fencing: bool = True
    concurrent: int = 64


@dataclass(frozen=True, slots=True)
class Configuration:
    """The complete declared configuration."""

    workspaces: dict[WorkspaceId, Workspace] = field(default_factory=dict)
    models: dict[ModelId, Model] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)

    def list_endpoints(self, service: ServiceId) -> list[Endpoint]:
        """Return the endpoints of a service, sorted by id."""
        endpoints = [e for e in self.endpoints.values() if e.service == service]
        return sorted(endpoints, key=lambda endpoint: endpoint.id)

    def find_service(self, model: ModelId) -> Service | None:
        """Return the engine service that serves a model."""
        for service in self.services.values():
            if service.kind is ServiceKind.ENGINE and model in service.models:
                return service
        return None


def hash_api_key(key: str) -> str:
    """Return the hex digest by which an API key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_workspace(configuration: Configuration, key: str) -> Workspace | None:
    """Return the workspace to which an API key belongs."""
    digest = hash_api_key(key)
    for workspace in configuration.workspaces.values():
        if digest in workspace.key_sha256:
            return workspace
    return None


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as JSON with sorted keys."""
    return msgspec.json.encode(configuration, order="deterministic")


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration from JSON.

    Raises
    ------
    MessageError
        The data is not a valid configuration.
    """
    return decode_json(data, Configuration)


def load_configuration(paths: list[Path]) -> Configuration:
    """Read configuration files and return the merged configuration.

    Raises
    ------
    ConfigurationError
        A file can't be read or is invalid.
    """
    texts = {}
    for path in paths:
        try:
            texts[str(path)] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as cause:
            raise ConfigurationError(str(path), "-", "-", str(cause)) from cause
    return parse_configuration(texts)


def parse_configuration(texts: Mapping[str, str]) -> Configuration:
    """Parse the texts of configuration files into one configuration.

    Parameters
    ----------
    texts : Mapping of str to str
        Contents by file name.

    Raises
    ------
    ConfigurationError
        A text is invalid, or the merged configuration has a dangling reference.
    """
    configuration = Configuration()
    for file, text in texts.items():
        parser = parse_ini(text, file, ConfigurationError)
        for section in parser.sections():
            reader = SectionReader(file, section, parser[section])
            _add_section(configuration, reader)
            reader.check_unknown()
    _check_references(configuration, ", ".join(texts))
    return configuration


def _add_section(configuration: Configuration, reader: SectionReader) -> None:
    kind, _, name = reader.section.partition(" ")
    name = name.strip()
    readers: dict[str, tuple[Callable[[str, SectionReader], Any], dict[Any, Any]]] = {
        "workspace": (_read_workspace, configuration.workspaces),
        "model": (_read_model, configuration.models),
        "service": (_read_service, configuration.services),
        "endpoint": (_read_endpoint, configuration.endpoints),
    }
    if kind not in readers or not name:
        allowed = ", ".join(f"[{word} NAME]" for word in sorted(readers))
        raise reader.make_error("-", f"is unknown; sections are {allowed}")
    read, target = readers[kind]
    if name in target:
        raise reader.make_error("-", "is declared twice")
    target[name] = read(name, reader)


def _read_workspace(name: str, reader: SectionReader) -> Workspace:
    digests = reader.read_list("key_sha256", None)
    for digest in digests:
        if len(digest) != SHA256_HEX_DIGITS or not _is_hex(digest):
            raise reader.make_error(
                "key_sha256", "is not a list of SHA-256 hex digests"
            )
    return Workspace(
        id=WorkspaceId(name),
        key_sha256=digests,
        requests_per_s=reader.read_float("requests_per_s", 0.0),
        concurrent=reader.read_int("concurrent", 0),
        weight=reader.read_float("weight", 1.0, minimum=0.01),
    )


def _is_hex(text: str) -> bool:
    return all(char in "0123456789abcdef" for char in text)


def _read_model(name: str, reader: SectionReader) -> Model:
    return Model(
        id=ModelId(name),
        version=WeightsVersion(reader.read_text("version")),
        adapters=tuple(AdapterId(a) for a in reader.read_list("adapters")),
        context_tokens=reader.read_int("context_tokens", 32768, minimum=1),
    )


def _read_service(name: str, reader: SectionReader) -> Service:
    kinds = [kind.value for kind in ServiceKind]
    return Service(
        id=ServiceId(name),
        kind=ServiceKind(reader.read_choice("kind", kinds, "engine")),
        models=tuple(ModelId(model) for model in reader.read_list("models")),
        loads_at_once=reader.read_int("loads_at_once", 1),
        not_repeatable=reader.read_list("not_repeatable"),
    )


def _read_endpoint(name: str, reader: SectionReader) -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        service=ServiceId(reader.read_text("service")),
        address=reader.read_address("address"),
        failure_domain=FailureDomain(reader.read_text("failure_domain")),
        priorities=reader.read_bool("priorities", True),
        resume=reader.read_bool("resume", True),
        fencing=reader.read_bool("fencing", True),
        concurrent=reader.read_int("concurrent", 64, minimum=1),
    )


def _check_references(configuration: Configuration, files: str) -> None:
    for endpoint in configuration.endpoints.values():
        if endpoint.service not in configuration.services:
            section = f"endpoint {endpoint.id}"
            problem = f"{endpoint.service!r} is not a declared service"
            raise ConfigurationError(files, section, "service", problem)
    for service in configuration.services.values():
        for model in service.models:
            if model not in configuration.models:
                section = f"service {service.id}"
                problem = f"{model!r} is not a declared model"
                raise ConfigurationError(files, section, "models", problem)
