"""Seeded deployments under load, for tests of the choice of paths."""

import dataclasses
import hashlib
import random

from nutmeglift import ids
from nutmeglift_gateway import directory
from nutmeglift_gateway import loads
from nutmeglift_gateway import paths
from tests.gateway import rig

DOMAINS = ("a", "b", "c")
KIND_NAMES = ("big", "mid", "slow", "whole")


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Runners and their load.

    Attributes:
        servers: the runners.
        tracker: their load.
        pace_by_address: paces of slow runners.
    """

    servers: list[directory.Server]
    tracker: loads.LoadTracker
    pace_by_address: dict[str, float]

    def pace_of(self, address):
        """Returns the pace of the runner at an address."""
        return self.pace_by_address.get(address, 1.0)

    def add_load(self, rng, server):
        """Reserves room on a runner, up to more than it has."""
        kind = rig.ENGINE.kind(server.kind)
        room = rig.ENGINE.token_layer_capacity(kind, server.layers.count)
        share = rng.random() ** 2 * 1.1
        reservation = loads.Reservation(
            server.address,
            rng.random() < 0.3,
            share * room,
            rng.random() * 4000 * server.layers.count,
        )
        self.tracker.reserve((reservation,))
        self.tracker.begin_prompts((reservation,))


def make_deployment(rng):
    """Returns runners whose layers overlap, with load and slow runners."""
    servers = []
    for domain in DOMAINS:
        for number in range(rng.randint(4, 16)):
            kind = rng.choice(KIND_NAMES)
            most = rig.ENGINE.max_layers_in_memory(rig.ENGINE.kind(kind))
            count = rng.randint(max(1, most // 3), most)
            start = rng.choice([0, 80 - count, rng.randint(0, 80 - count)])
            servers.append(
                rig.make_server(
                    f"{domain}{number}",
                    domain=ids.FailureDomain(domain),
                    kind=kind,
                    layers=directory.LayerRange(start, start + count),
                    address=f"{domain}{number}:1",
                )
            )
    deployment = Deployment(servers, loads.LoadTracker(), {})
    for server in servers:
        deployment.add_load(rng, server)
        if rng.random() < 0.1:
            deployment.pace_by_address[server.address] = rng.uniform(2, 12)
    return deployment


def describe(path):
    """Returns the parts of a path."""
    if path is None:
        return None
    return [(part.server.id, part.start, part.end) for part in path.parts]


def digest_paths(count, find):
    """Returns a digest of the paths that are found in many deployments.

    Args:
        count: number of deployments.
        find: called with a deployment and requirements.
    """
    digest = hashlib.sha256()
    found = 0
    for seed in range(count):
        rng = random.Random(seed)
        deployment = make_deployment(rng)
        requirements = paths.PathRequirements(
            ids.FailureDomain(rng.choice(DOMAINS)), rng.uniform(100, 3000)
        )
        path = find(deployment, requirements)
        found += path is not None
        digest.update(repr(describe(path)).encode())
    return digest.hexdigest()[:16], found
