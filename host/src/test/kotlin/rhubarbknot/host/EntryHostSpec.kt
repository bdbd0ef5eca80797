package rhubarbknot.host

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.AuditRecord
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.KeyHash
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.table.TeamRow
import rhubarbknot.quorum.Append
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

private val ZONES = mapOf("jemmal" to 3, "kalaa" to 3, "msaken" to 3)

@DisplayName("nine entry hosts in three zones")
class EntryHostSpec {
    private val network = SimulatedCluster(ZONES)
    private val sahel = TeamId("sahel")
    private val hash = KeyHash.of("secret")
    private var asked = 0

    private fun change(
        edit: Edit,
        at: String = "kalaa1",
        basedOn: Long = 1_000_000,
        waitMillis: Long = 6_000,
    ): ApiResponse {
        val id = "change-${asked++}"
        val change = RegistryCommand.Change(ChangeId(id), "tester", basedOn, 0, edit)
        return network.answer(network.ask(HostId(at), id, ApiRequest.Change(change, waitMillis)), 15_000)
    }

    private fun setUp() {
        network.run(4_000)
        change(Edit.Table(listOf(TeamRow(sahel, 1, 30))))
        change(Edit.GiveKey("k1", sahel, hash))
        ZONES.keys.forEach { network.executor(it, "$it-board", Resources(slots = 8)) }
        network.run(1_500)
    }

    private fun call(
        id: String,
        at: String = "jemmal1",
        idempotent: Boolean = false,
        runMillis: Long = 5,
        wait: Long = 3_000,
    ): ApiRequest.Submit {
        val spec = JobSpec(WorkKind.CALL, idempotent = idempotent, urgent = true, expectedRunMillis = runMillis, payload = "rope $id")
        return ApiRequest
            .Submit(hash, QueueId("sahel"), id, spec, waitMillis = wait, fingerprint = id.hashCode().toLong())
            .also { network.ask(HostId(at), "r${asked++}-$id", it) }
    }

    private fun runs(id: String) = network.executors.values.sumOf { it.runs.count { attempt -> attempt.job.local == id } }

    private fun answerTo(id: String) =
        network.answers.entries
            .filter { it.key.value.endsWith("-$id") }
            .map { it.value }

    @Test
    fun `answer a call whatever its home zone and entry host`() {
        setUp()
        repeat(9) {
            call(
                "c$it",
                at =
                    network.topology.hosts[it]
                        .id.name,
            )
        }
        network.run(2_000)
        repeat(9) { i ->
            val answer = answerTo("c$i").single()
            expectThat(answer).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, "rope c$i"))
        }
    }

    @Test
    fun `run a resent call once and give both the same answer`() {
        setUp()
        call("once", at = "jemmal1")
        call("once", at = "msaken2")
        network.run(2_000)
        expectThat(answerTo("once").map { (it as ApiResponse.Job).status.outcome }.toSet()).isEqualTo(setOf(Outcome.Ran(true, "rope once")))
        expectThat(runs("once")).isEqualTo(1)
    }

    @Nested
    inner class `when a key is withdrawn` {
        @Test
        fun `refuse work under it everywhere as soon as the change is in force`() {
            setUp()
            val response = change(Edit.WithdrawKey("k1"))
            expectThat(response).isA<ApiResponse.Changed>().get { inForce }.isTrue()
            network.topology.hosts.forEach { call("late-${it.id}", at = it.id.name) }
            network.run(6_000)
            network.topology.hosts.forEach { host ->
                expectThat(answerTo("late-${host.id}").single()).isA<ApiResponse.Refused>().get { reason }.isEqualTo(RefusalReason.BAD_KEY)
                expectThat(runs("late-${host.id}")).isEqualTo(0)
            }
        }
    }

    @Nested
    inner class `when somebody is refused at a host` {
        private fun knock(who: String) = network.feed(HostId("msaken2"), HostEvent.Refused(who, "wrong secret", 7))

        private fun refusals(): List<AuditRecord> {
            val audit = network.answer(network.ask(HostId("msaken2"), "audit-${asked++}", ApiRequest.ReadAudit(100)))
            return (audit as ApiResponse.Audit).records.filter { it.changeId.startsWith("refusal") }
        }

        @Test
        fun `record the first at once and count the others once a minute, over a lost leader of the registry`() {
            setUp()
            knock("peer x at 10.0.0.9")
            repeat(500) { knock("peer x at 10.0.0.9") }
            network.run(1_000)
            expectThat(refusals().single().actor).isEqualTo("peer x at 10.0.0.9")
            network.kill(checkNotNull(network.leader(GroupId.REGISTRY)).config.self)
            network.run(60_000)
            expectThat(refusals().map { it.subject }).isEqualTo(
                listOf("wrong secret at msaken2", "wrong secret at msaken2, 500 times in a minute"),
            )
        }

        @Test
        fun `record a bounded number, whoever knocks`() {
            setUp()
            repeat(1_000) { knock("peer $it") }
            network.run(2_000)
            expectThat(refusals().size).isEqualTo(33)
        }
    }

    @Nested
    inner class `when the registry reaches a host late` {
        private val lagging = mutableSetOf<HostId>()

        private fun holdBackRegistry(vararg hosts: String) {
            lagging += hosts.map { HostId(it) }
            network.swallow = { to, frame -> to in lagging && frame is PeerFrame.Replica && carriesRegistry(frame) }
        }

        // Heartbeats without entries still come, so that such a host knows whom to ask for a lease.
        private fun carriesRegistry(frame: PeerFrame.Replica): Boolean {
            val message = frame.message
            return frame.group == GroupId.REGISTRY && message is Append && message.entries.isNotEmpty()
        }

        private fun registryLeader() = checkNotNull(network.leader(GroupId.REGISTRY)).config.self

        /** A zone without the registry's leader, whose registry can't lag. */
        private fun zone() = ZONES.keys.first { !registryLeader().name.startsWith(it) }

        private fun cellLeader() = checkNotNull(network.leader(GroupId.cell(ZoneId(zone())))).config.self

        private fun followers() = network.topology.hostsOf(ZoneId(zone())).map { it.id } - cellLeader()

        @Test
        fun `run work under a key and on a queue that this host has not heard of`() {
            setUp()
            val host = followers().first().name
            holdBackRegistry(host)
            change(Edit.Table(listOf(TeamRow(sahel, 1, 30), TeamRow(TeamId("new"), 1, 30)), whole = true), at = "jemmal1")
            change(Edit.GiveKey("k2", sahel, KeyHash.of("second")), at = "jemmal1")
            change(Edit.GiveKey("k3", TeamId("new"), KeyHash.of("third")), at = "jemmal1")
            listOf("sahel" to "second", "new" to "third").forEach { (queue, secret) ->
                ZONES.keys.forEach { home ->
                    val id = "$home.$queue"
                    val spec = JobSpec(WorkKind.CALL, urgent = true, expectedRunMillis = 5, payload = id)
                    val submit = ApiRequest.Submit(KeyHash.of(secret), QueueId(queue), id, spec, waitMillis = 3_000, fingerprint = 1)
                    val answer = network.answer(network.ask(HostId(host), "late-$id", submit))
                    expectThat(answer).isA<ApiResponse.Job>().get { zone.name }.isEqualTo(home)
                    expectThat(answer).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, id))
                }
            }
        }

        @Test
        fun `take nothing under a withdrawn key when such hosts come to lead the zone`() {
            setUp()
            val zone = zone()
            val old = cellLeader()
            val rest = followers()
            holdBackRegistry(*rest.map { it.name }.toTypedArray())
            expectThat(change(Edit.WithdrawKey("k1"), at = registryLeader().name)).isA<ApiResponse.Changed>().get { inForce }.isTrue()
            network.kill(old)
            network.run(3_000)
            rest.forEach { call("$zone.${it.name}", at = it.name) }
            network.run(6_000)
            rest.forEach { expectThat(runs("$zone.${it.name}")).isEqualTo(0) }
            lagging.clear()
            network.run(3_000)
            call("$zone.healed", at = rest.first().name)
            network.run(2_000)
            expectThat(answerTo("$zone.healed").single()).isA<ApiResponse.Refused>().get { reason }.isEqualTo(RefusalReason.BAD_KEY)
        }
    }

    @Nested
    inner class `when one host of a zone is cut off or paused` {
        private val zone = ZoneId("kalaa")

        private fun leader() = checkNotNull(network.leader(GroupId.cell(zone))).config.self

        private fun others(than: HostId) = network.topology.hostsOf(zone).map { it.id } - than

        private fun isolate(host: HostId) {
            network.cut = { a, b -> (a == host) != (b == host) }
        }

        private fun outcome(id: String) = (answerTo(id).single() as? ApiResponse.Job)?.status?.outcome

        @Test
        fun `say at a follower alone that the outcome is unknown, while the others serve, and run it once when asked again`() {
            setUp()
            val alone = others(leader()).first()
            isolate(alone)
            network.run(3_000)
            call("kalaa.alone", at = alone.name, wait = 1_000)
            call("kalaa.served", at = others(alone).first().name)
            network.run(9_000)
            expectThat(answerTo("kalaa.alone").single()).isA<ApiResponse.Unknown>()
            expectThat(outcome("kalaa.served")).isEqualTo(Outcome.Ran(true, "rope kalaa.served"))
            expectThat(runs("kalaa.alone")).isEqualTo(0)
            network.cut = { _, _ -> false }
            network.run(3_000)
            call("kalaa.alone", at = alone.name)
            network.run(2_000)
            expectThat(runs("kalaa.alone")).isEqualTo(1)
        }

        @Test
        fun `start nothing at a leader alone, follow a new leader, and run nothing twice`() {
            setUp()
            val old = leader()
            isolate(old)
            call("kalaa.alone", at = old.name, wait = 1_000)
            network.run(6_000)
            expectThat(runs("kalaa.alone")).isEqualTo(0)
            call("kalaa.served", at = others(old).first().name)
            network.run(2_000)
            expectThat(outcome("kalaa.served")).isEqualTo(Outcome.Ran(true, "rope kalaa.served"))
            network.cut = { _, _ -> false }
            network.run(6_000)
            expectThat(runs("kalaa.alone") <= 1).isTrue()
            expectThat(runs("kalaa.served")).isEqualTo(1)
        }

        @Test
        fun `start nothing late when a leader wakes after a minute, and keep what ran meanwhile`() {
            setUp()
            val old = leader()
            call("kalaa.begun", runMillis = 4_000, wait = 20_000)
            network.run(500)
            network.pause(old)
            call("kalaa.slept", at = old.name, wait = 1_000)
            network.run(30_000)
            call("kalaa.meanwhile", at = others(old).first().name)
            network.run(30_000)
            expectThat(outcome("kalaa.meanwhile")).isEqualTo(Outcome.Ran(true, "rope kalaa.meanwhile"))
            expectThat(runs("kalaa.slept")).isEqualTo(0)
            network.resume(old)
            network.run(8_000)
            listOf("kalaa.begun", "kalaa.meanwhile").forEach { expectThat(runs(it)).isEqualTo(1) }
            expectThat(runs("kalaa.slept") <= 1).isTrue()
            expectThat(outcome("kalaa.begun")).isEqualTo(Outcome.Ran(true, "rope kalaa.begun"))
        }
    }

    @Nested
    inner class `when the leader of a zone dies` {
        @Test
        fun `run what was accepted and start new urgent work within 3100 ms`() {
            setUp()
            val group = GroupId.cell(ZoneId("kalaa"))
            val leader = checkNotNull(network.leader(group)).config.self
            network.kill(leader)
            val since = network.now
            call("kalaa.urgent", at = "jemmal1")
            while (runs("kalaa.urgent") == 0 && network.now < since + 10_000) network.run(20)
            expectThat(network.now - since).isGreaterThan(0)
            expectThat(network.now - since <= 3_100).isTrue()
        }
    }

    @Nested
    inner class `when a zone is cut off` {
        private fun cutOff(zone: String) {
            network.cut = { a, b -> a.name.startsWith(zone) != b.name.startsWith(zone) }
        }

        @Test
        fun `finish there what runs, refuse new work truly, and serve again after healing`() {
            setUp()
            call("kalaa.long", at = "kalaa1", runMillis = 9_000, wait = 20_000)
            network.run(500)
            cutOff("kalaa")
            network.run(6_000)
            call("kalaa.cut", at = "kalaa2")
            network.run(6_000)
            expectThat(
                answerTo("kalaa.long").single(),
            ).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, "rope kalaa.long"))
            expectThat(answerTo("kalaa.cut").single()).isA<ApiResponse.Refused>().get { reason }.isEqualTo(RefusalReason.ZONE_UNREACHABLE)
            network.cut = { _, _ -> false }
            network.run(3_000)
            call("kalaa.after", at = "kalaa2")
            network.run(1_000)
            expectThat(runs("kalaa.after")).isEqualTo(1)
            expectThat(runs("kalaa.cut")).isEqualTo(0)
        }

        @Test
        fun `put a change in force once its lease has run out`() {
            setUp()
            cutOff("msaken")
            val since = network.now
            val response = change(Edit.SetZone(ZoneId("msaken"), inService = false), at = "kalaa1")
            expectThat(response).isA<ApiResponse.Changed>().get { inForce }.isTrue()
            expectThat(network.now - since <= 7_000).isTrue()
        }
    }

    @Nested
    inner class `when a non-idempotent call loses its endpoint` {
        @Test
        fun `tell that the outcome is unknown, and correct it when the endpoint comes back`() {
            setUp()
            call("jemmal.lost", runMillis = 2_000, wait = 9_000)
            network.run(300)
            val endpoint = network.executors.getValue("jemmal-board")
            endpoint.cutOff = true
            network.run(9_500)
            expectThat(answerTo("jemmal.lost").single()).isA<ApiResponse.Job>().get { status.outcome }.isA<Outcome.Unknown>()
            endpoint.cutOff = false
            network.run(4_000)
            val look = ApiRequest.LookUp(hash, JobId(sahel, "jemmal.lost"))
            val answer = network.answer(network.ask(HostId("kalaa1"), "look", look))
            expectThat(answer).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, "rope jemmal.lost"))
            expectThat(runs("jemmal.lost")).isEqualTo(1)
        }
    }
}
