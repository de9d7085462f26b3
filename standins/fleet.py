"""A whole fleet in one process, for tests and benchmarks in virtual time.

The entry instances run their real code; the platform and the upstreams are the
stand-ins; only sockets are replaced. Everything can be killed, paused and cut
off at any moment.
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
from applespring.entry.compose import Instance, Outside
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
    """One entry instance of the fleet.

    Attributes:
        name: Name of the instance.
        failure_domain: Where it stands.
        address: Address of its HTTP interface.
        peer_address: Address of its peer link.
        instance: The parts of the running incarnation.
        scope: Cancels the running incarnation.
        transport: Its access to the peer link.
        incarnations: How often it was started.
        clock_offset_s: Seconds by which its clock is ahead of the timers, as
            in an event loop that is late.
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
        """Returns the time that the instance sees; it stands in a pause."""
        return min(anyio.current_time(), self._paused_at) + self.clock_offset_s

    def pause(self) -> None:
        """Stops the instance's clock and its links."""
        self._paused_at = anyio.current_time()
        self.transport.resumed = anyio.Event()

    def resume(self) -> None:
        """Lets the instance go on; its clock jumps to the present."""
        self._paused_at = math.inf
        self.transport.resumed.set()


class VirtualFleet:
    """The platform, the upstreams and the entry instances of a document.

    Attributes:
        document: Text of the configuration document.
        fleet: The parsed document.
        network: Links between callers, instances, upstreams and platform.
        peer_network: Links between entry instances.
        platform: The platform.
        load_lag_s: Seconds by which load reports are behind.
        caller: The client with which callers submit.
        upstreams: Upstream name to its application.
        entries: Entry instance name to its host.
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
        """Makes the fleet; `start` runs it.

        Args:
            tasks: Runs everything.
            document: A valid configuration document.
            entries_per_domain: Entry instances in each failure domain.
            seed: Seed of all random choices.
            policy: Load-balancing policy of the entry instances.
            one_way_s: Seconds of one way over the network.
            load_lag_s: Seconds by which load reports are behind.
            create_instance: Makes an entry instance; takes the arguments of
                `Instance`.
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
        """Publishes document and list, and runs until all are ready."""
        await self.publish(self.document)
        await self.publish_list()
        for host in self.entries.values():
            self.run_entry(host.name)
        await self.wait_ready()

    async def wait_ready(self, *names: str) -> None:
        """Waits until these entry instances, or all, are ready."""
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
        """Publishes the list of instances as it should be now."""
        async with self.network.client(PLATFORM_DOMAIN) as client:
            await client.put(
                f"http://{PLATFORM_ADDRESS}/admin/instances",
                content=orjson.dumps(list(self._listed.values())),
            )

    def set_listed(self, name: str, state: str | None) -> None:
        """Changes the list: `live`, `leaving`, or None to drop the name.

        `publish_list` puts it in force.
        """
        if state is None:
            del self._listed[name]
        else:
            self._listed[name]["state"] = state

    def run_entry(self, name: str) -> None:
        """Starts a new incarnation of an entry instance."""
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
        """Ends an entry instance as SIGKILL does."""
        host = self.entries[name]
        host.scope.cancel()
        self.network.kill(host.address)

    def pause_entry(self, name: str) -> None:
        """Stops an entry instance as SIGSTOP does."""
        host = self.entries[name]
        host.pause()
        self.network.pause(host.address)

    def resume_entry(self, name: str) -> None:
        """Lets a paused entry instance go on as SIGCONT does."""
        host = self.entries[name]
        host.resume()
        self.network.resume(host.address)

    async def drain_entry(self, name: str) -> None:
        """Drains an entry instance as SIGTERM does; returns at its end."""
        host = self.entries[name]
        host.instance.drain.begin()
        await host.instance.drain.run()
        # The HTTP server finishes the exchanges that it has accepted.
        with anyio.move_on_after(SERVER_GRACE_S):
            while self.network.hosts[host.address].exchanges:
                await anyio.sleep(SERVER_POLL_S)
        self.kill_entry(name)

    def upstream_address(self, name: str) -> str:
        """Returns the address of an upstream."""
        return self._listed[name]["address"]

    def cut_domain(self, name: str) -> None:
        """Cuts a failure domain off from the others and the platform."""
        others = [d for d in self.fleet.failure_domains if d != name]
        for other in (*others, PLATFORM_DOMAIN):
            self.network.cut(name, other)
        domain_addresses = self._peer_addresses(name)
        for other in others:
            self.peer_network.cut(domain_addresses, self._peer_addresses(other))

    def cut_platform(self) -> None:
        """Cuts every failure domain off from the platform."""
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
        """Submits a request to an entry instance as a caller does."""
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
        """Returns a key that names an entry instance as its owner."""
        resp = await self.caller.post(
            f"http://{self.entries[via].address}/v1/keys",
            content=b'{"count": 1}',
        )
        return resp.json()["keys"][0]

    def count_executions(self, pool: str, key: str = "") -> int:
        """Returns how many calls a pool executed, all or those of a key."""
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
                    raise ValueError(f"{host.address} is an upstream's")
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
        """Returns the stand-in for an upstream of a pool."""
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

    def _make_external_connections(self, host: EntryHost) -> Outside:
        client = self.network.client(host.failure_domain, host.address)
        return Outside(
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
    """Runs a scenario against a started fleet, then ends the fleet."""
    async with anyio.create_task_group() as tasks:
        fleet = VirtualFleet(tasks, document, **options)
        await fleet.start()
        await scenario(fleet)
        tasks.cancel_scope.cancel()
