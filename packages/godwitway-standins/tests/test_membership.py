"""Tests of membership, ownership and handover under failures, on virtual time."""

from godwitway.process._member import MemberState
from worlds import counted, events, hosts, in_world

from godwitway_standins._deployments import DEPLOYMENTS
from godwitway_standins._links import LinkTerms
from godwitway_standins._make import make_trace
from godwitway_standins._trace import Outcomes

DETECTION_S = 5.0


def states_of(world, id_):
    """Return the set of states that the other hosts record for a host."""
    return {
        entry.host.node.members[id_].state for entry in hosts(world) if entry.host.node.id != id_
    }


class TestDetection:
    """Tests of failure detection."""

    def test_all_hosts_detect_death(self):
        """All hosts declare a killed host dead within `DETECTION_S`."""

        async def job(world):
            entry = hosts(world)[3]
            del world.entries[entry.name]
            entry.kill()
            await world.clock.sleep(DETECTION_S)
            assert states_of(world, entry.host.node.id) == {MemberState.DEAD}

        in_world(job)

    def test_no_false_deaths_with_loss_and_short_pauses(self):
        """With 5 % packet loss and pauses of 100 ms, no host is declared dead for a minute."""

        async def job(world):
            for turn in range(60):
                entry = hosts(world)[turn % len(hosts(world))]
                entry.pause(True)
                await world.clock.sleep(0.1)
                entry.pause(False)
                await world.clock.sleep(0.9)
            assert counted(world, "member_dead") == 0

        in_world(job, terms=LinkTerms(loss=0.05))

    def test_quick_restart_is_detected(self):
        """A host that restarts before its death is detected is known to have lost its records."""

        async def job(world):
            entry = hosts(world)[0]
            number, zone = entry.number, entry.zone
            entry.kill()
            # The new process gets the number of the killed one, so the same address and id.
            world.next_entry, following = number, world.next_entry
            world.add_entry(zone)
            world.next_entry = following
            await world.clock.sleep(DETECTION_S)
            restarted = world.entries["entry-1"].host
            assert any(line["restarted"] for line in events(world, "member_dead"))
            assert restarted.node.incarnation > 0
            assert all(owned.records_may_be_lost for owned in restarted.flows.owned.values())

        in_world(job)

    def test_one_way_cut_is_bypassed_by_relaying(self):
        """If datagrams of zone A do not reach zone B, B stays alive and others relay packets."""

        async def job(world):
            world.network.cuts.add(("kingston-a", "kingston-b"))
            await world.clock.sleep(20.0)
            in_a = [entry for entry in hosts(world) if entry.zone == "kingston-a"]
            in_b = [entry.host.node.id for entry in hosts(world) if entry.zone == "kingston-b"]
            dead = [
                id_ for entry in in_a for id_ in in_b if not entry.host.node.members[id_].is_live
            ]
            assert dead == []
            assert any(set(in_b) & entry.host.node.indirect_peers for entry in in_a)

        in_world(job)

    def test_paused_host_resumes_admission_after_state_request(self):
        """After a long pause, a host is alive and admits flows once it has its peers' state."""

        async def job(world):
            entry = hosts(world)[0]
            entry.pause(True)
            await world.clock.sleep(10.0)
            entry.pause(False)
            await world.clock.sleep(DETECTION_S)
            assert entry.host.node.metrics.counters["pauses_noticed", ""] == 1
            assert entry.host.node.admitting
            assert states_of(world, entry.host.node.id) == {MemberState.ALIVE}

        in_world(job)


class TestPartition:
    """Tests of a network partition and its end."""

    def test_owners_agree_after_partition_heals(self):
        """In a partition each side owns all targets itself; afterwards all agree on every owner."""

        async def job(world):
            zone = "kingston-c"
            world.network.cut(zone, ["kingston-a", "kingston-b"])
            await world.clock.sleep(10.0)
            inside = next(entry for entry in hosts(world) if entry.zone == zone)
            owners = {
                inside.host.node.directory.owner_of(target)
                for target in inside.host.node.directory.targets
            }
            assert owners == {e.host.node.id for e in hosts(world) if e.zone == zone}
            world.network.heal()
            await world.clock.sleep(15.0)
            owner_maps = [
                {id_: entry.host.node.directory.owner_of(id_) for id_ in directory.targets}
                for entry in hosts(world)
                for directory in [entry.host.node.directory]
            ]
            assert all(owner_map == owner_maps[0] for owner_map in owner_maps)
            owned = [id_ for entry in hosts(world) for id_ in entry.host.flows.owned]
            assert sorted(owned) == sorted(owner_maps[0])

        in_world(job)


class TestHandover:
    """Tests of the handover of flow records to a new owner."""

    def test_dead_receiver_is_replaced(self):
        """When the receiver of a handover dies, the records go to the next owner."""

        async def job(world):
            trace = make_trace("t", DEPLOYMENTS["kingston"], 5, 20.0, [], Outcomes(), held=300)
            boards = [flow for flow in trace.flows if flow.kind == "board"]
            world.spawn(world.player.play(boards))
            await world.clock.sleep(6.0)
            leaving = max(hosts(world)[:3], key=lambda entry: len(entry.host.flows.table))
            flows = len(leaving.host.flows.table)
            assert flows > 50
            del world.entries[leaving.name]
            world.route(leaving, False)
            world.spawn(leaving.stop())
            await world.clock.sleep(0.3)
            receivers = [e for e in hosts(world) if e.zone == leaving.zone]
            # The busiest host of the zone is most likely the receiver.
            victim = max(receivers, key=lambda entry: entry.host.node.metrics.counters.total())
            del world.entries[victim.name]
            world.route(victim, False)
            victim.kill()
            await world.clock.sleep(30.0)
            results = [result.verdict.value for result in world.player.results]
            assert results.count("complete") == len(boards)
            assert not leaving.host.flows.departing

        in_world(job)


class TestRecentFlowHandover:
    """Tests of the handover of what an owner knows besides flow records."""

    def test_new_owner_gets_passed_on_and_refused_flows(self):
        """A host that joins and acquires targets gets the passed-on and refused flow keys."""

        async def job(world):
            service = world.service("live-auction")
            caller, number = bytes([172, 16, 0, 1]), 0
            keys = []
            for number in range(200):
                ports = number.to_bytes(2, "big") + (7002).to_bytes(2, "big")
                keys.append(caller + service.address + ports + bytes([17]))
            for entry in hosts(world):
                flows, now = entry.host.flows, world.clock.now()
                for key in keys:
                    for target in flows.owned:
                        flows.passed_on.put(key + target, now, now)
                    flows.refused.put(key, True, now)
            before = set(world.entries)
            for _ in range(3):
                world.add_entry("kingston-a")
            await world.clock.sleep(6.0)
            joined = [entry.host for entry in hosts(world) if entry.name not in before]
            acquired = [(host, target) for host in joined for target in host.flows.owned]
            auction = [
                (host, target) for host, target in acquired if target in service.targets_by_id
            ]
            assert auction
            for host, target in auction:
                received = [
                    key for key in keys if host.flows.passed_on.get(key + target) is not None
                ]
                assert received == keys
                own = service.targets_by_id[target]
                expected = [key for key in keys if own in service.candidates(key)]
                assert all(host.flows.refused.get(key) for key in expected)

        in_world(job)


class TestTaskFailure:
    """Tests of a host whose task fails."""

    def test_failed_task_stops_host(self):
        """When a task fails, also one launched after the start, the host stops with its error."""

        async def job(world):
            host = hosts(world)[0].host

            async def fail() -> None:
                raise RuntimeError("broken")

            host.start_task(fail())
            await world.clock.sleep(0.1)
            assert host.stopped.is_set()
            assert str(host.failure) == "broken"

        in_world(job)
