package rhubarbknot.host

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.PropertyDefaults
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.KeyHash
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.registry.VersionedRow
import rhubarbknot.core.table.TeamRow

/** One simulation step: an action and two numbers that select its targets and parameters. */
data class FaultStep(
    val action: Int,
    val a: Int,
    val b: Int,
)

/** Simulates one team with a ceiling in three zones and tracks how many of its tasks may run. */
private class HostSimulation(
    seed: Long,
) {
    private val zones = listOf("jemmal", "kalaa", "msaken")
    val cluster = SimulatedCluster(mapOf("jemmal" to 3, "kalaa" to 2, "msaken" to 1), seed)
    private val hosts = cluster.topology.hosts.map { it.id }
    private val team = TeamId("crew")
    private val hash = KeyHash.of("secret")
    private val edits = LinkedHashMap<RequestId, PendingEdit>()
    private var number = 0
    private var secondKey: SecondKey? = null

    /** Jobs submitted with a key after its withdrawal was reported as in force. */
    private val forbidden = HashSet<String>()

    /**
     * Maximum number of tasks that may run: the highest ceiling possibly in force, or the tasks still running when a
     * lower ceiling came into force.
     */
    private var allowed = FIRST_CEILING

    /** A key that is granted, used and withdrawn while faults are injected. */
    private class SecondKey(
        val id: String,
        val grantRequest: RequestId,
    ) {
        val hash = KeyHash.of(id)
        var withdrawalRequest: RequestId? = null
    }

    private class PendingEdit(
        val requestedAt: Long,
    ) {
        var inForceSince: Long? = null
        var version = 0L
    }

    fun setUp() {
        cluster.run(4_000)
        edit(Edit.Table(listOf(TeamRow(team, 1, FIRST_CEILING))))
        cluster.run(1_000)
        edit(Edit.GiveKey("k", team, hash))
        cluster.run(1_000)
        check(cluster.answers.values.all { it is ApiResponse.Changed && it.inForce }) { "${cluster.answers}" }
        zones.forEach { cluster.executor(it, "$it-worker", Resources(milliCpus = 100_000, memoryMb = 100_000)) }
        cluster.run(1_000)
    }

    private fun edit(
        edit: Edit,
        at: HostId = hosts.first(),
    ): RequestId {
        val id = "change-${number++}"
        val change = RegistryCommand.Change(ChangeId(id), "fuzz", Long.MAX_VALUE, 0, edit)
        return cluster.sendRequest(at, id, ApiRequest.Change(change, 6_000))
    }

    fun apply(step: FaultStep) {
        val host = hosts[step.a % hosts.size]
        when (step.action) {
            in 0..11 -> submit(host, step)
            in 12..15 -> setCeiling(host, 2 + step.b % 20)
            16 -> cluster.isPartitioned = { from, to -> from.name.startsWith(zones[step.b % 3]) != to.name.startsWith(zones[step.b % 3]) }
            17, 18 -> cluster.isPartitioned = { _, _ -> false }
            19 -> registryLeader()?.let { cluster.pause(it) }
            20 -> cluster.pause(host)
            in 21..23 -> hosts.forEach { cluster.resume(it) }
            24 -> if (hosts.none { cluster.isDown(it) }) cluster.kill(host)
            in 25..26 -> hosts.filter { cluster.isDown(it) }.forEach { cluster.restart(it) }
            27 -> setFaultPercent(step.b % 30)
            28 -> setFaultPercent(0)
            29, 30 -> rotateKey(host)
            else -> Unit
        }
        advance(50L + 20 * step.b)
    }

    private fun rotateKey(host: HostId) {
        val key = secondKey
        when {
            key == null || inForce(key.withdrawalRequest) -> {
                val id = "second-${number++}"
                secondKey = SecondKey(id, edit(Edit.GiveKey(id, team, KeyHash.of(id)), host))
            }
            inForce(key.grantRequest) -> key.withdrawalRequest = edit(Edit.WithdrawKey(key.id), host)
        }
    }

    private fun inForce(change: RequestId?): Boolean {
        val answer = cluster.answers[change] as? ApiResponse.Changed
        return answer?.inForce == true && answer.result is ChangeResult.Committed
    }

    private fun registryLeader() = cluster.leader(GroupId.REGISTRY)?.config?.self

    private fun setFaultPercent(percent: Int) {
        cluster.lossPercent = percent
        cluster.duplicatePercent = percent
        cluster.delayPercent = percent
    }

    private fun submit(
        host: HostId,
        step: FaultStep,
    ) {
        val id = "${zones[step.b % 3]}.${number++}"
        val need = Resources(milliCpus = 100, memoryMb = 10)
        val spec =
            JobSpec(
                WorkKind.BATCH,
                tasks = 1 + step.b % 8,
                need = need,
                idempotent = step.a % 2 == 0,
                expectedRunMillis = 500L + 100 * step.b,
            )
        val key = secondKey?.takeIf { step.a % 3 == 0 }
        if (inForce(key?.withdrawalRequest)) forbidden += id
        cluster.sendRequest(host, "r-$id", ApiRequest.Submit(key?.hash ?: hash, QueueId("crew"), id, spec, fingerprint = 1))
    }

    private fun setCeiling(
        host: HostId,
        next: Int,
    ) {
        val id = edit(Edit.Table(listOf(TeamRow(team, 1, next))), host)
        edits[id] = PendingEdit(cluster.now)
        // From now on the ceiling may be in force in any zone, whether or not that is reported.
        allowed = maxOf(allowed, next)
    }

    /** Advances the clock and checks the running tasks at regular intervals. */
    fun advance(millis: Long) {
        repeat((millis / CHECK_INTERVAL_MILLIS).toInt() + 1) {
            cluster.run(CHECK_INTERVAL_MILLIS)
            updateAllowed()
            checkKeys()
            check(running() <= allowed) {
                "${running()} tasks of the team run at ${cluster.now}, but at most $allowed may: " +
                    cluster.executors.mapValues { it.value.active.size } + " " +
                    cluster.hosts.mapValues { it.value.registry.state.grants[team] }
            }
        }
    }

    private fun checkKeys() {
        if (forbidden.isEmpty()) return
        val ran =
            cluster.executors.values
                .flatMap { it.runs }
                .filter { it.job.local in forbidden }
        check(ran.isEmpty()) { "$ran ran under a key that was withdrawn before they were submitted" }
    }

    private fun running() = cluster.executors.values.sumOf { it.active.size }

    /**
     * Lowers [allowed] to a ceiling reported as in force, once starts that were in flight at that time are too old to
     * be accepted.
     */
    private fun updateAllowed() {
        edits.forEach { (id, edit) ->
            val answer = cluster.answers[id] as? ApiResponse.Changed
            val result = answer?.result
            if (edit.inForceSince == null && answer?.inForce == true && result is ChangeResult.Committed) {
                edit.inForceSince = cluster.now
                edit.version = result.version
            }
        }
        val row = committed() ?: return
        val known =
            edits.values
                .filter { it.version >= row.version }
                .mapNotNull { it.inForceSince }
                .minOrNull() ?: return
        val unanswered = edits.values.any { it.inForceSince == null && cluster.now - it.requestedAt < CHANGE_TIMEOUT_MILLIS }
        if (!unanswered && cluster.now - known >= START_MAX_AGE_MILLIS) allowed = maxOf(row.row.ceiling, minOf(allowed, running()))
    }

    /** The team's row in the latest registry version of any host. */
    private fun committed(): VersionedRow? =
        cluster.hosts.values
            .maxBy { it.registry.version }
            .registry.state.rows[team]

    /** Removes all faults; then the team must be able to run as many tasks as its ceiling allows. */
    fun repair() {
        cluster.isPartitioned = { _, _ -> false }
        setFaultPercent(0)
        hosts.forEach { cluster.resume(it) }
        hosts.filter { cluster.isDown(it) }.forEach { cluster.restart(it) }
        advance(CHANGE_TIMEOUT_MILLIS)
        setCeiling(hosts.first(), REPAIRED_CEILING)
        advance(8_000)
        repeat(REPAIRED_CEILING) { submit(hosts.first(), FaultStep(0, 1, 99)) }
        val deadline = cluster.now + REBALANCE_TIMEOUT_MILLIS
        while (running() < REPAIRED_CEILING && cluster.now < deadline) advance(CHECK_INTERVAL_MILLIS)
        check(running() == REPAIRED_CEILING) {
            "${running()} tasks run after all faults were removed, the ceiling is $REPAIRED_CEILING: " + describe()
        }
    }

    private fun describe(): String =
        cluster.answers.values
            .toList()
            .takeLast(9)
            .joinToString("\n") +
            cluster.hosts.entries.joinToString("\n") { (id, host) ->
                "$id: ${host.health()} ${host.registry.state.grants[team]} ${host.cell.loads()} held=${host.cell.state.held} " +
                    "v=${host.cell.state.configVersion} ${host.cell.state.executors.size}"
            }

    private companion object {
        const val FIRST_CEILING = 12
        const val REPAIRED_CEILING = 9
        const val CHECK_INTERVAL_MILLIS = 100L
        const val START_MAX_AGE_MILLIS = 2_500L

        /** Time for grants to move to the zones with demand, at one returned grant per second. */
        const val REBALANCE_TIMEOUT_MILLIS = 15_000L

        /** Time after which an unanswered change is no longer retried. */
        const val CHANGE_TIMEOUT_MILLIS = 15_000L
    }
}

/**
 * Complete hosts under lost, duplicated and delayed messages, partitions, crashes and pauses, with extra pauses of the
 * registry's leader.
 */
@PropertyDefaults(shrinking = ShrinkingMode.OFF)
class HostProperties {
    @Property(seed = "20261204", tries = TRIES)
    fun `no team exceeds its ceiling over all zones or runs under a withdrawn key, and it reaches its ceiling again after repair`(
        @ForAll("steps") steps: List<FaultStep>,
        @ForAll simulationSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            val simulation = HostSimulation(simulationSeed + run)
            simulation.setUp()
            steps.forEach { simulation.apply(it) }
            simulation.repair()
        }
    }

    @Provide
    fun steps(): Arbitrary<List<FaultStep>> {
        val action = Arbitraries.integers().between(0, 30)
        val number = Arbitraries.integers().between(0, 99)
        return Combinators
            .combine(action, number, number)
            .`as` { kind, a, b -> FaultStep(kind, a, b) }
            .list()
            .ofMinSize(30)
            .ofMaxSize(80)
    }

    private companion object {
        const val TRIES = 20

        /** Simulations run per generated sequence; `-Dfuzz.tries=` raises the total. */
        val RUNS_PER_TRY: Int = maxOf(1, (System.getProperty("fuzz.tries") ?: "20").toInt() / TRIES / 3)
    }
}
