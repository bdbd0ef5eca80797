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
    private val cluster = SimulatedCluster(ZONES)
    private val sahel = TeamId("sahel")
    private val hash = KeyHash.of("secret")
    private var requestCount = 0

    private fun change(
        edit: Edit,
        at: String = "kalaa1",
        basedOn: Long = 1_000_000,
        waitMillis: Long = 6_000,
    ): ApiResponse {
        val id = "change-${requestCount++}"
        val change = RegistryCommand.Change(ChangeId(id), "tester", basedOn, 0, edit)
        return cluster.awaitAnswer(cluster.sendRequest(HostId(at), id, ApiRequest.Change(change, waitMillis)), 15_000)
    }

    private fun setUp() {
        cluster.run(4_000)
        change(Edit.Table(listOf(TeamRow(sahel, 1, 30))))
        change(Edit.GiveKey("k1", sahel, hash))
        ZONES.keys.forEach { cluster.executor(it, "$it-board", Resources(slots = 8)) }
        cluster.run(1_500)
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
            .also { cluster.sendRequest(HostId(at), "r${requestCount++}-$id", it) }
    }

    private fun runs(id: String) = cluster.executors.values.sumOf { it.runs.count { attempt -> attempt.job.local == id } }

    private fun answerTo(id: String) =
        cluster.answers.entries
            .filter { it.key.value.endsWith("-$id") }
            .map { it.value }

    @Test
    fun `answer a call for any home zone through any entry host`() {
        setUp()
        repeat(9) {
            call(
                "c$it",
                at =
                    cluster.topology.hosts[it]
                        .id.name,
            )
        }
        cluster.run(2_000)
        repeat(9) { i ->
            val answer = answerTo("c$i").single()
            expectThat(answer).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, "rope c$i"))
        }
    }

    @Test
    fun `run a resent call once and return the same outcome to both requests`() {
        setUp()
        call("once", at = "jemmal1")
        call("once", at = "msaken2")
        cluster.run(2_000)
        expectThat(answerTo("once").map { (it as ApiResponse.Job).status.outcome }.toSet()).isEqualTo(setOf(Outcome.Ran(true, "rope once")))
        expectThat(runs("once")).isEqualTo(1)
    }

    @Nested
    inner class `when a key is withdrawn` {
        @Test
        fun `refuse work under the key at every host once the change is in force`() {
            setUp()
            val response = change(Edit.WithdrawKey("k1"))
            expectThat(response).isA<ApiResponse.Changed>().get { inForce }.isTrue()
            cluster.topology.hosts.forEach { call("late-${it.id}", at = it.id.name) }
            cluster.run(6_000)
            cluster.topology.hosts.forEach { host ->
                expectThat(answerTo("late-${host.id}").single()).isA<ApiResponse.Refused>().get { reason }.isEqualTo(RefusalReason.BAD_KEY)
                expectThat(runs("late-${host.id}")).isEqualTo(0)
            }
        }
    }

    @Nested
    inner class `when a peer fails authentication at a host` {
        private fun refuse(who: String) = cluster.feed(HostId("msaken2"), HostEvent.Refused(who, "wrong secret", 7))

        private fun refusals(): List<AuditRecord> {
            val audit = cluster.awaitAnswer(cluster.sendRequest(HostId("msaken2"), "audit-${requestCount++}", ApiRequest.ReadAudit(100)))
            return (audit as ApiResponse.Audit).records.filter { it.changeId.startsWith("refusal") }
        }

        @Test
        fun `record the first refusal at once and a count of repeats once a minute, across a registry leader failure`() {
            setUp()
            refuse("peer x at 10.0.0.9")
            repeat(500) { refuse("peer x at 10.0.0.9") }
            cluster.run(1_000)
            expectThat(refusals().single().actor).isEqualTo("peer x at 10.0.0.9")
            cluster.kill(checkNotNull(cluster.leader(GroupId.REGISTRY)).config.self)
            cluster.run(60_000)
            expectThat(refusals().map { it.subject }).isEqualTo(
                listOf("wrong secret at msaken2", "wrong secret at msaken2, 500 times in a minute"),
            )
        }

        @Test
        fun `record a bounded number of refusals from many peers`() {
            setUp()
            repeat(1_000) { refuse("peer $it") }
            cluster.run(2_000)
            expectThat(refusals().size).isEqualTo(33)
        }
    }

    @Nested
    inner class `when the registry replica of a host lags` {
        private val laggingHosts = mutableSetOf<HostId>()

        private fun delayRegistryEntries(vararg hosts: String) {
            laggingHosts += hosts.map { HostId(it) }
            cluster.dropsFrame = { to, frame -> to in laggingHosts && frame is PeerFrame.Replica && carriesRegistryEntries(frame) }
        }

        // Heartbeats without entries still arrive, so that a lagging host knows the registry leader to renew its lease with.
        private fun carriesRegistryEntries(frame: PeerFrame.Replica): Boolean {
            val message = frame.message
            return frame.group == GroupId.REGISTRY && message is Append && message.entries.isNotEmpty()
        }

        private fun registryLeader() = checkNotNull(cluster.leader(GroupId.REGISTRY)).config.self

        /** A zone that does not contain the registry's leader, since the leader's own registry can't lag. */
        private fun zone() = ZONES.keys.first { !registryLeader().name.startsWith(it) }

        private fun cellLeader() = checkNotNull(cluster.leader(GroupId.cell(ZoneId(zone())))).config.self

        private fun followers() = cluster.topology.hostsOf(ZoneId(zone())).map { it.id } - cellLeader()

        @Test
        fun `run work with a key and a queue that this host does not know yet`() {
            setUp()
            val host = followers().first().name
            delayRegistryEntries(host)
            change(Edit.Table(listOf(TeamRow(sahel, 1, 30), TeamRow(TeamId("new"), 1, 30)), whole = true), at = "jemmal1")
            change(Edit.GiveKey("k2", sahel, KeyHash.of("second")), at = "jemmal1")
            change(Edit.GiveKey("k3", TeamId("new"), KeyHash.of("third")), at = "jemmal1")
            listOf("sahel" to "second", "new" to "third").forEach { (queue, secret) ->
                ZONES.keys.forEach { home ->
                    val id = "$home.$queue"
                    val spec = JobSpec(WorkKind.CALL, urgent = true, expectedRunMillis = 5, payload = id)
                    val submit = ApiRequest.Submit(KeyHash.of(secret), QueueId(queue), id, spec, waitMillis = 3_000, fingerprint = 1)
                    val answer = cluster.awaitAnswer(cluster.sendRequest(HostId(host), "late-$id", submit))
                    expectThat(answer).isA<ApiResponse.Job>().get { zone.name }.isEqualTo(home)
                    expectThat(answer).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, id))
                }
            }
        }

        @Test
        fun `accept no work under a withdrawn key when lagging hosts become the zone leader`() {
            setUp()
            val zone = zone()
            val old = cellLeader()
            val lagging = followers()
            delayRegistryEntries(*lagging.map { it.name }.toTypedArray())
            expectThat(change(Edit.WithdrawKey("k1"), at = registryLeader().name)).isA<ApiResponse.Changed>().get { inForce }.isTrue()
            cluster.kill(old)
            cluster.run(3_000)
            lagging.forEach { call("$zone.${it.name}", at = it.name) }
            cluster.run(6_000)
            lagging.forEach { expectThat(runs("$zone.${it.name}")).isEqualTo(0) }
            laggingHosts.clear()
            cluster.run(3_000)
            call("$zone.healed", at = lagging.first().name)
            cluster.run(2_000)
            expectThat(answerTo("$zone.healed").single()).isA<ApiResponse.Refused>().get { reason }.isEqualTo(RefusalReason.BAD_KEY)
        }
    }

    @Nested
    inner class `when one host of a zone is isolated or paused` {
        private val zone = ZoneId("kalaa")

        private fun leader() = checkNotNull(cluster.leader(GroupId.cell(zone))).config.self

        private fun others(than: HostId) = cluster.topology.hostsOf(zone).map { it.id } - than

        private fun isolate(host: HostId) {
            cluster.isPartitioned = { a, b -> (a == host) != (b == host) }
        }

        private fun outcome(id: String) = (answerTo(id).single() as? ApiResponse.Job)?.status?.outcome

        @Test
        fun `report an unknown outcome at an isolated follower while the others serve, and run the call once when it is resent`() {
            setUp()
            val isolated = others(leader()).first()
            isolate(isolated)
            cluster.run(3_000)
            call("kalaa.alone", at = isolated.name, wait = 1_000)
            call("kalaa.served", at = others(isolated).first().name)
            cluster.run(9_000)
            expectThat(answerTo("kalaa.alone").single()).isA<ApiResponse.Unknown>()
            expectThat(outcome("kalaa.served")).isEqualTo(Outcome.Ran(true, "rope kalaa.served"))
            expectThat(runs("kalaa.alone")).isEqualTo(0)
            cluster.isPartitioned = { _, _ -> false }
            cluster.run(3_000)
            call("kalaa.alone", at = isolated.name)
            cluster.run(2_000)
            expectThat(runs("kalaa.alone")).isEqualTo(1)
        }

        @Test
        fun `start nothing at an isolated leader, fail over to a new leader, and run nothing twice`() {
            setUp()
            val old = leader()
            isolate(old)
            call("kalaa.alone", at = old.name, wait = 1_000)
            cluster.run(6_000)
            expectThat(runs("kalaa.alone")).isEqualTo(0)
            call("kalaa.served", at = others(old).first().name)
            cluster.run(2_000)
            expectThat(outcome("kalaa.served")).isEqualTo(Outcome.Ran(true, "rope kalaa.served"))
            cluster.isPartitioned = { _, _ -> false }
            cluster.run(6_000)
            expectThat(runs("kalaa.alone") <= 1).isTrue()
            expectThat(runs("kalaa.served")).isEqualTo(1)
        }

        @Test
        fun `start nothing late when a leader wakes after a minute, and keep what ran meanwhile`() {
            setUp()
            val old = leader()
            call("kalaa.begun", runMillis = 4_000, wait = 20_000)
            cluster.run(500)
            cluster.pause(old)
            call("kalaa.slept", at = old.name, wait = 1_000)
            cluster.run(30_000)
            call("kalaa.meanwhile", at = others(old).first().name)
            cluster.run(30_000)
            expectThat(outcome("kalaa.meanwhile")).isEqualTo(Outcome.Ran(true, "rope kalaa.meanwhile"))
            expectThat(runs("kalaa.slept")).isEqualTo(0)
            cluster.resume(old)
            cluster.run(8_000)
            listOf("kalaa.begun", "kalaa.meanwhile").forEach { expectThat(runs(it)).isEqualTo(1) }
            expectThat(runs("kalaa.slept") <= 1).isTrue()
            expectThat(outcome("kalaa.begun")).isEqualTo(Outcome.Ran(true, "rope kalaa.begun"))
        }
    }

    @Nested
    inner class `when the leader of a zone crashes` {
        @Test
        fun `start new urgent work within 3100 ms`() {
            setUp()
            val group = GroupId.cell(ZoneId("kalaa"))
            val leader = checkNotNull(cluster.leader(group)).config.self
            cluster.kill(leader)
            val since = cluster.now
            call("kalaa.urgent", at = "jemmal1")
            while (runs("kalaa.urgent") == 0 && cluster.now < since + 10_000) cluster.run(20)
            expectThat(cluster.now - since).isGreaterThan(0)
            expectThat(cluster.now - since <= 3_100).isTrue()
        }
    }

    @Nested
    inner class `when a zone is cut off` {
        private fun cutOff(zone: String) {
            cluster.isPartitioned = { a, b -> a.name.startsWith(zone) != b.name.startsWith(zone) }
        }

        @Test
        fun `finish running work, refuse new work without running it, and serve again after the partition heals`() {
            setUp()
            call("kalaa.long", at = "kalaa1", runMillis = 9_000, wait = 20_000)
            cluster.run(500)
            cutOff("kalaa")
            cluster.run(6_000)
            call("kalaa.cut", at = "kalaa2")
            cluster.run(6_000)
            expectThat(
                answerTo("kalaa.long").single(),
            ).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, "rope kalaa.long"))
            expectThat(answerTo("kalaa.cut").single()).isA<ApiResponse.Refused>().get { reason }.isEqualTo(RefusalReason.ZONE_UNREACHABLE)
            cluster.isPartitioned = { _, _ -> false }
            cluster.run(3_000)
            call("kalaa.after", at = "kalaa2")
            cluster.run(1_000)
            expectThat(runs("kalaa.after")).isEqualTo(1)
            expectThat(runs("kalaa.cut")).isEqualTo(0)
        }

        @Test
        fun `put a change in force once the lease of the zone has expired`() {
            setUp()
            cutOff("msaken")
            val since = cluster.now
            val response = change(Edit.SetZone(ZoneId("msaken"), inService = false), at = "kalaa1")
            expectThat(response).isA<ApiResponse.Changed>().get { inForce }.isTrue()
            expectThat(cluster.now - since <= 7_000).isTrue()
        }
    }

    @Nested
    inner class `when a non-idempotent call loses its endpoint` {
        @Test
        fun `report an unknown outcome and correct it when the endpoint reconnects`() {
            setUp()
            call("jemmal.lost", runMillis = 2_000, wait = 9_000)
            cluster.run(300)
            val endpoint = cluster.executors.getValue("jemmal-board")
            endpoint.cutOff = true
            cluster.run(9_500)
            expectThat(answerTo("jemmal.lost").single()).isA<ApiResponse.Job>().get { status.outcome }.isA<Outcome.Unknown>()
            endpoint.cutOff = false
            cluster.run(4_000)
            val lookUp = ApiRequest.LookUp(hash, JobId(sahel, "jemmal.lost"))
            val answer = cluster.awaitAnswer(cluster.sendRequest(HostId("kalaa1"), "look", lookUp))
            expectThat(answer).isA<ApiResponse.Job>().get { status.outcome }.isEqualTo(Outcome.Ran(true, "rope jemmal.lost"))
            expectThat(runs("jemmal.lost")).isEqualTo(1)
        }
    }
}
