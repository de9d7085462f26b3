"""A complete fleet in one process, for tests and benchmarks in virtual time.

The entry instances run their production code, and the platform and upstreams
are stand-ins. Only the sockets are replaced, by in-memory networks on which
instances can be killed, paused and partitioned at any moment.
"""

import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx
import orjson
from anyio.abc import TaskGroup

from applespring.config.document import load_document
from applespring.core.fleet import Fleet, Pool, StageKind, Upstream
from applespring.entry.compose import ExternalConnections, Instance
from applespring.entry.settings import Settings
from standins.caller_reply import CallerReply, parse_events
from standins.engine import Engine
from standins.network import Network
from standins.peer_network import MemoryTransport, PeerNetwork
from standins.platform import Platform
from standins.service import Service

PLATFORM_ADDRESS = "127.0.0.1:20000"
PLATFORM_DOMAIN = "platform"
CALLERS_DOMAIN = "callers"
ENTRY_PORT = 32000
PEER_PORT = 33000
READY_POLL_S = 0.05
READY_TIMEOUT_S = 30.0
SERVER_GRACE_S = 1.0
SERVER_POLL_S = 0.005
TOKENS_PER_S = 60.0
FIRST_TOKEN_S = 0.1


class EntryHost:
    """An entry instance of the fleet, through all its incarnations.

    Attributes:
        name: Name of the instance.
        failure_domain: Failure domain that it runs in.
        address: Address of its HTTP interface.
        peer_address: Address at which other entry instances reach it.
        instance: Components of the latest incarnation.
        scope: Cancels the latest incarnation.
        transport: Peer transport of the latest incarnation.
        incarnations: Number of incarnations started so far.
        clock_offset_s: Seconds by which its clock is ahead of its timers, as
            in an event loop that runs timers late.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "address",
        "peer_address",
        "instance",
        "scope",
        "transport",
        "incarnations",
        "clock_offset_s",
        "_paused_at",
    )

    def __init__(self, number: int, name: str, failure_domain: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = f"127.0.0.1:{ENTRY_PORT + number}"
        self.peer_address = f"127.0.0.1:{PEER_PORT + number}"
        self.instance: Instance
        self.scope = anyio.CancelScope()
        self.transport: MemoryTransport
        self.incarnations = 0
        self.clock_offset_s = 0.0
        self._paused_at = math.inf

    def read_clock(self) -> float:
        """Returns the instance's clock, which stops during a pause."""
        return min(anyio.current_time(), self._paused_at) + self.clock_offset_s

    def pause(self) -> None:
        """Stops the clock and the peer transport."""
        self._paused_at = anyio.current_time()
        self.transport.resumed = anyio.Event()

    def resume(self) -> None:
        """Ends the pause; the clock jumps to the current time."""
        self._paused_at = math.inf
        self.transport.resumed.set()


class VirtualFleet:
    """The platform, upstreams and entry instances of a configuration.

    Attributes:
        document: Text of the configuration document.
        fleet: The parsed document.
        network: HTTP links of callers, instances, upstreams and platform.
        peer_network: Peer links between entry instances.
        platform: The platform stand-in.
        load_lag_s: Seconds by which load reports are delayed.
        caller: The HTTP client of all callers.
        upstreams: Upstream stand-ins by name.
        entries: Entry instances by name.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        document: str,
        *,
        entries_per_domain: int = 2,
        seed: int = 0,
        policy: str = "two_choices",
        one_way_s: float = 0.001,
        load_lag_s: float = 0.2,
        create_instance: Callable[..., Instance] = Instance,
    ) -> None:
        """Creates the fleet; `start` runs it.

        Args:
            tasks: Task group in which the complete fleet runs.
            document: A valid configuration document.
            entries_per_domain: Entry instances in each failure domain.
            seed: Seed of all random choices.
            policy: Load-balancing policy of the entry instances.
            one_way_s: One-way latency of the network in seconds.
            load_lag_s: Seconds by which load reports are delayed.
            create_instance: Creates an entry instance; takes the arguments of
                `Instance`.

        Raises:
            ValueError: The document is invalid, or an upstream's address is
                that of an entry instance.
        """
        result = load_document(document, 1)
        if result.fleet is None:
            raise ValueError("\n".join(str(error) for error in result.errors))
        self.document = document
        self.fleet: Fleet = result.fleet
        self.network = Network(tasks, one_way_s=one_way_s, seed=seed)
        self.peer_network = PeerNetwork(seed)
        self.platform = Platform()
        self.entries: dict[str, EntryHost] = {}
        self.upstreams: dict[str, Engine | Service] = {}
        self._tasks = tasks
        self._seed = seed
        self._policy = policy
        self.load_lag_s = load_lag_s
        self._create_instance = create_instance
        self._states: dict[str, str] = {}
        self._listed: dict[str, dict[str, str]] = {}
        self.caller = self.network.client(CALLERS_DOMAIN)
        self._attach(entries_per_domain)

    async def start(self) -> None:
        """Publishes document and list, and starts all entry instances.

        Returns when they are ready.
        """
        await self.publish(self.document)
        await self.publish_list()
        for host in self.entries.values():
            self.run_entry(host.name)
        await self.wait_ready()

    async def wait_ready(self, *names: str) -> None:
        """Waits until the given entry instances, or else all, are ready.

        Raises:
            TimeoutError: One is not ready within `READY_TIMEOUT_S`.
        """
        wanted = names or tuple(self.entries)
        with anyio.fail_after(READY_TIMEOUT_S):
            for name in wanted:
                while not self.entries[name].instance.readiness()[0]:
                    await anyio.sleep(READY_POLL_S)

    async def publish(self, document: str) -> int:
        """Publishes a configuration document; returns its revision."""
        async with self.network.client(PLATFORM_DOMAIN) as client:
            resp = await client.put(
                f"http://{PLATFORM_ADDRESS}/admin/config", content=document
            )
            return resp.json()["revision"]

    async def publish_list(self) -> None:
        """Publishes the instance list, with the changes of `set_listed`."""
        async with self.network.client(PLATFORM_DOMAIN) as client:
            await client.put(
                f"http://{PLATFORM_ADDRESS}/admin/instances",
                content=orjson.dumps(list(self._listed.values())),
            )

    def set_listed(self, name: str, state: str | None) -> None:
        """Changes an instance's state in the list that is published next.

        Args:
            name: Name of the instance.
            state: `live`, `leaving`, or None to remove the instance.
        """
        if state is None:
            del self._listed[name]
        else:
            self._listed[name]["state"] = state

    def run_entry(self, name: str) -> None:
        """Starts an entry instance as a new incarnation."""
        host = self.entries[name]
        host.incarnations += 1
        host.transport = MemoryTransport(self.peer_network, host.peer_address)
        host.instance = self._create_instance(
            Settings(
                name=name,
                failure_domain=host.failure_domain,
                platform=PLATFORM_ADDRESS,
                drain_grace_s=1.0,
                drain_limit_s=30.0,
            ),
            self._make_external_connections(host),
            self._policy,
        )
        self.network.attach(
            host.address, host.instance.app, host.failure_domain
        )
        host.scope = anyio.CancelScope()
        self._tasks.start_soon(self._run_instance, host)

    def kill_entry(self, name: str) -> None:
        """Stops an entry instance at once, as SIGKILL does."""
        host = self.entries[name]
        host.scope.cancel()
        self.network.kill(host.address)

    def pause_entry(self, name: str) -> None:
        """Pauses an entry instance, as SIGSTOP does."""
        host = self.entries[name]
        host.pause()
        self.network.pause(host.address)

    def resume_entry(self, name: str) -> None:
        """Resumes a paused entry instance, as SIGCONT does."""
        host = self.entries[name]
        host.resume()
        self.network.resume(host.address)

    async def drain_entry(self, name: str) -> None:
        """Drains and stops an entry instance, as SIGTERM does."""
        host = self.entries[name]
        host.instance.drain.start()
        await host.instance.drain.run()
        # A real HTTP server finishes the exchanges that it has accepted.
        with anyio.move_on_after(SERVER_GRACE_S):
            while self.network.hosts[host.address].exchanges:
                await anyio.sleep(SERVER_POLL_S)
        self.kill_entry(name)

    def upstream_address(self, name: str) -> str:
        """Returns the address of an upstream in the instance list."""
        return self._listed[name]["address"]

    def cut_domain(self, name: str) -> None:
        """Partitions a failure domain from the others and the platform."""
        others = [d for d in self.fleet.failure_domains if d != name]
        for other in (*others, PLATFORM_DOMAIN):
            self.network.cut(name, other)
        domain_addresses = self._peer_addresses(name)
        for other in others:
            self.peer_network.cut(domain_addresses, self._peer_addresses(other))

    def cut_platform(self) -> None:
        """Partitions every failure domain from the platform."""
        for name in self.fleet.failure_domains:
            self.network.cut(name, PLATFORM_DOMAIN)

    def heal(self) -> None:
        """Ends all partitions."""
        self.network.heal()
        self.peer_network.heal()

    async def submit(
        self,
        via: str,
        pipeline: str,
        account: str,
        payload: Any,
        *,
        key: str = "",
        deadline_s: float | None = None,
        stream: bool = False,
        request_id: str = "",
    ) -> CallerReply:
        """Submits a request to the entry instance `via`, as a caller does.

        A broken connection gives a reply with status 0.
        """
        headers = {"applespring-account": account}
        if key:
            headers["idempotency-key"] = key
        if request_id:
            headers["applespring-request-id"] = request_id
        if deadline_s is not None:
            headers["applespring-deadline-ms"] = str(round(deadline_s * 1000))
        started_at = anyio.current_time()
        try:
            resp = await self.caller.post(
                f"http://{self.entries[via].address}"
                f"/v1/pipelines/{pipeline}/requests",
                content=orjson.dumps({"input": payload, "stream": stream}),
                headers=headers,
            )
        except httpx.HTTPError:
            elapsed_s = anyio.current_time() - started_at
            return CallerReply(0, None, [], elapsed_s, {})
        elapsed_s = anyio.current_time() - started_at
        events = []
        if resp.headers["content-type"] == "text/event-stream":
            events = parse_events(resp.text)
        document = events[-1][1] if events else orjson.loads(resp.content)
        return CallerReply(
            resp.status_code, document, events, elapsed_s, resp.headers
        )

    async def issue_key(self, via: str) -> str:
        """Returns an idempotency key that the entry instance `via` owns."""
        resp = await self.caller.post(
            f"http://{self.entries[via].address}/v1/keys",
            content=b'{"count": 1}',
        )
        return resp.json()["keys"][0]

    def count_executions(self, pool: str, key: str = "") -> int:
        """Returns how many calls a pool executed, in all or with a key."""
        return sum(
            not key or execution.key == key
            for upstream in self.fleet.pools[pool].upstreams
            for execution in self.upstreams[upstream.name].record.executions
        )

    async def _run_instance(self, host: EntryHost) -> None:
        with host.scope:
            await host.instance.run()

    def _attach(self, entries_per_domain: int) -> None:
        self.network.attach(PLATFORM_ADDRESS, self.platform, PLATFORM_DOMAIN)
        for pool in self.fleet.pools.values():
            for upstream in pool.upstreams:
                app = self.make_upstream(pool, upstream)
                self.upstreams[upstream.name] = app
                self.network.attach(
                    upstream.address, app, upstream.failure_domain
                )
                self._add_to_list(
                    upstream.name,
                    pool.name,
                    upstream.address,
                    upstream.failure_domain,
                )
        for domain in self.fleet.failure_domains:
            for index in range(entries_per_domain):
                name = f"entry-{domain}-{index + 1}"
                host = EntryHost(len(self.entries) + 1, name, domain)
                if host.address in self.network.hosts:
                    raise ValueError(
                        f"{name}: address {host.address} is an upstream's"
                    )
                self.entries[name] = host
                self._add_to_list(name, "entry", host.peer_address, domain)

    def _add_to_list(
        self, name: str, role: str, address: str, failure_domain: str
    ) -> None:
        self._listed[name] = {
            "name": name,
            "role": role,
            "address": address,
            "failure_domain": failure_domain,
            "state": "live",
        }

    def make_upstream(self, pool: Pool, upstream: Upstream) -> Engine | Service:
        """Creates the stand-in for an upstream of a pool."""
        if pool.kind is StageKind.GENERATE:
            return Engine(
                upstream.name,
                slots=upstream.slots,
                tokens_per_s=TOKENS_PER_S,
                first_token_s=FIRST_TOKEN_S,
                load_lag_s=self.load_lag_s,
                checks_fence=pool.fencing,
                model=pool.model,
                version=pool.version,
                effect=pool.effect,
            )
        return Service(
            upstream.name,
            pool.kind.value,
            slots=upstream.slots,
            service_s=pool.expected_s,
            jitter=0.3,
            seed=self._seed,
            deduplicates=pool.checks_keys,
            load_lag_s=self.load_lag_s,
            reports_load=pool.reports_load,
            idempotent=pool.idempotent,
            effect=pool.effect,
        )

    def _make_external_connections(
        self, host: EntryHost
    ) -> ExternalConnections:
        client = self.network.client(host.failure_domain, host.address)
        return ExternalConnections(
            pooled=client,
            single=client,
            control=client,
            platform=httpx.AsyncClient(
                transport=self.network.transport(
                    host.failure_domain, host.address
                ),
                base_url=f"http://{PLATFORM_ADDRESS}",
                timeout=None,
            ),
            transport=host.transport,
            refuses_connections=self.network.refuses_connections,
            clock=host.read_clock,
            wall_clock=anyio.current_time,
            rng=random.Random(f"{self._seed}/{host.name}/{host.incarnations}"),
        )

    def _peer_addresses(self, failure_domain: str) -> list[str]:
        return [
            host.peer_address
            for host in self.entries.values()
            if host.failure_domain == failure_domain
        ]


async def run_fleet(
    document: str,
    scenario: Callable[[VirtualFleet], Awaitable[None]],
    **options: Any,
) -> None:
    """Runs a scenario on a ready fleet, then stops the fleet."""
    async with anyio.create_task_group() as tasks:
        fleet = VirtualFleet(tasks, document, **options)
        await fleet.start()
        await scenario(fleet)
        tasks.cancel_scope.cancel()
