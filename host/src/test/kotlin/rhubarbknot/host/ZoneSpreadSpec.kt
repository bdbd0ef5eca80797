package rhubarbknot.host

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.KeyHash
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.table.TeamRow
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

@DisplayName("a service spread over zones")
class ZoneSpreadSpec {
    private val names = listOf("jemmal", "kalaa", "msaken")
    private val zones = names.map { ZoneId(it) }

    @Test
    fun `has parts whose sizes differ by at most one task, identical for each resend`() {
        (1..20).forEach { tasks ->
            val parts = ZoneSpread.parts("board", tasks, zones)
            expectThat(parts.sumOf { it.tasks }).isEqualTo(tasks)
            expectThat(parts).hasSize(minOf(tasks, 3))
            expectThat(parts.maxOf { it.tasks } - parts.minOf { it.tasks }).isLessThanOrEqualTo(1)
            expectThat(ZoneSpread.parts("board", tasks, zones.reversed())).isEqualTo(parts)
        }
    }

    @Test
    fun `does not always assign the remaining task to the same zone`() {
        expectThat((1..50).map { ZoneSpread.parts("job-$it", 1, zones).single().zone }.toSet()).isEqualTo(zones.toSet())
    }

    @Test
    fun `runs in every zone, keeps running when a zone is cut off, and moves out of a zone taken out of service`() {
        val cluster = SimulatedCluster(names.associateWith { 3 })
        val team = TeamId("crew")
        cluster.run(4_000)
        change(cluster, "table", Edit.Table(listOf(TeamRow(team, 1, 30))))
        change(cluster, "key", Edit.GiveKey("k", team, KeyHash.of("secret")))
        names.forEach { cluster.executor(it, "$it-worker", Resources(milliCpus = 8_000, memoryMb = 8_000)) }
        cluster.run(1_500)
        val spec = JobSpec(WorkKind.SERVICE, need = Resources(1_000, 100))
        repeat(2) { resend ->
            ZoneSpread.parts("board", 5, zones).forEach { part ->
                val submit = ApiRequest.Submit(KeyHash.of("secret"), QueueId("crew"), part.localId, spec.copy(tasks = part.tasks))
                cluster.sendRequest(HostId("kalaa1"), "r$resend-${part.localId}", submit)
            }
        }
        cluster.run(2_000)
        val running = { zone: String ->
            cluster.executors
                .getValue("$zone-worker")
                .active.size
        }
        val before = names.map { running(it) }
        expectThat(before.sorted()).isEqualTo(listOf(1, 2, 2))
        cluster.isPartitioned = { a, b -> a.name.startsWith("kalaa") != b.name.startsWith("kalaa") }
        cluster.run(10_000)
        expectThat(names.map { running(it) }).isEqualTo(before)
        cluster.isPartitioned = { _, _ -> false }
        cluster.run(3_000)
        change(cluster, "out", Edit.SetZone(ZoneId("kalaa"), inService = false))
        cluster.run(10_000)
        expectThat(running("kalaa")).isEqualTo(0)
        expectThat(names.sumOf { running(it) }).isEqualTo(5)
    }

    private fun change(
        cluster: SimulatedCluster,
        id: String,
        edit: Edit,
    ) = cluster.awaitAnswer(
        cluster.sendRequest(
            HostId("jemmal1"),
            id,
            ApiRequest.Change(RegistryCommand.Change(ChangeId(id), "tester", Long.MAX_VALUE, 0, edit), 6_000),
        ),
    )
}
