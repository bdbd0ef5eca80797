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

/** What happens to the hosts in one step, and two numbers that say to whom. */
data class FaultStep(
    val action: Int,
    val a: Int,
    val b: Int,
)

/** One team under a ceiling in three zones, and what may really run of it. */
private class HostSimulation(
    seed: Long,
) {
    private val zones = listOf("jemmal", "kalaa", "msaken")
    val network = SimulatedCluster(mapOf("jemmal" to 3, "kalaa" to 2, "msaken" to 1), seed)
    private val hosts = network.topology.hosts.map { it.id }
    private val team = TeamId("crew")
    private val hash = KeyHash.of("secret")
    private val edits = LinkedHashMap<RequestId, PendingEdit>()
    private var number = 0
    private var second: SecondKey? = null

    /** Jobs that were asked for under a key after its withdrawal had been told to be in force. */
    private val forbidden = HashSet<String>()

    /** The most that may run: the highest ceiling that may be in force, or what still ran when a lower one came. */
    private var allowed = FIRST_CEILING

    /** A key that is given, used and withdrawn while the hosts fail. */
    private class SecondKey(
        val id: String,
        val giving: RequestId,
    ) {
        val hash = KeyHash.of(id)
        var withdrawing: RequestId? = null
    }

    private class PendingEdit(
        val askedAt: Long,
    ) {
        var inForceSince: Long? = null
        var version = 0L
    }

    fun setUp() {
        network.run(4_000)
        edit(Edit.Table(listOf(TeamRow(team, 1, FIRST_CEILING))))
        network.run(1_000)
        edit(Edit.GiveKey("k", team, hash))
        network.run(1_000)
        check(network.answers.values.all { it is ApiResponse.Changed && it.inForce }) { "${network.answers}" }
        zones.forEach { network.executor(it, "$it-worker", Resources(milliCpus = 100_000, memoryMb = 100_000)) }
        network.run(1_000)
    }

    private fun edit(
        edit: Edit,
        at: HostId = hosts.first(),
    ): RequestId {
        val id = "change-${number++}"
        val change = RegistryCommand.Change(ChangeId(id), "fuzz", Long.MAX_VALUE, 0, edit)
        return network.ask(at, id, ApiRequest.Change(change, 6_000))
    }

    fun play(blow: FaultStep) {
        val host = hosts[blow.a % hosts.size]
        when (blow.action) {
            in 0..11 -> submit(host, blow)
            in 12..15 -> setCeiling(host, 2 + blow.b % 20)
            16 -> network.cut = { from, to -> from.name.startsWith(zones[blow.b % 3]) != to.name.startsWith(zones[blow.b % 3]) }
            17, 18 -> network.cut = { _, _ -> false }
            19 -> registryLeader()?.let { network.pause(it) }
            20 -> network.pause(host)
            in 21..23 -> hosts.forEach { network.resume(it) }
            24 -> if (hosts.none { network.isDown(it) }) network.kill(host)
            in 25..26 -> hosts.filter { network.isDown(it) }.forEach { network.restart(it) }
            27 -> disturb(blow.b % 30)
            28 -> disturb(0)
            29, 30 -> turnKey(host)
            else -> Unit
        }
        pass(50L + 20 * blow.b)
    }

    private fun turnKey(host: HostId) {
        val key = second
        when {
            key == null || inForce(key.withdrawing) -> {
                val id = "second-${number++}"
                second = SecondKey(id, edit(Edit.GiveKey(id, team, KeyHash.of(id)), host))
            }
            inForce(key.giving) -> key.withdrawing = edit(Edit.WithdrawKey(key.id), host)
        }
    }

    private fun inForce(change: RequestId?): Boolean {
        val answer = network.answers[change] as? ApiResponse.Changed
        return answer?.inForce == true && answer.result is ChangeResult.Committed
    }

    private fun registryLeader() = network.leader(GroupId.REGISTRY)?.config?.self

    private fun disturb(percent: Int) {
        network.lossPercent = percent
        network.duplicatePercent = percent
        network.latePercent = percent
    }

    private fun submit(
        host: HostId,
        blow: FaultStep,
    ) {
        val id = "${zones[blow.b % 3]}.${number++}"
        val need = Resources(milliCpus = 100, memoryMb = 10)
        val spec =
            JobSpec(
                WorkKind.BATCH,
                tasks = 1 + blow.b % 8,
                need = need,
                idempotent = blow.a % 2 == 0,
                expectedRunMillis = 500L + 100 * blow.b,
            )
        val key = second?.takeIf { blow.a % 3 == 0 }
        if (inForce(key?.withdrawing)) forbidden += id
        network.ask(host, "r-$id", ApiRequest.Submit(key?.hash ?: hash, QueueId("crew"), id, spec, fingerprint = 1))
    }

    private fun setCeiling(
        host: HostId,
        next: Int,
    ) {
        val id = edit(Edit.Table(listOf(TeamRow(team, 1, next))), host)
        edits[id] = PendingEdit(network.now)
        // From here on it may be in force anywhere, told or not.
        allowed = maxOf(allowed, next)
    }

    /** Lets time pass and looks at what really runs. */
    fun pass(millis: Long) {
        repeat((millis / LOOK_MILLIS).toInt() + 1) {
            network.run(LOOK_MILLIS)
            takeUp()
            checkKeys()
            check(running() <= allowed) {
                "${running()} tasks of the team run at ${network.now}, $allowed may: " +
                    network.executors.mapValues { it.value.active.size } + " " +
                    network.hosts.mapValues { it.value.registry.state.grants[team] }
            }
        }
    }

    private fun checkKeys() {
        if (forbidden.isEmpty()) return
        val ran =
            network.executors.values
                .flatMap { it.runs }
                .filter { it.job.local in forbidden }
        check(ran.isEmpty()) { "$ran ran under a key that was withdrawn before they were asked for" }
    }

    private fun running() = network.executors.values.sumOf { it.active.size }

    /** A ceiling that is told to be in force bounds what may run, once starts that were on their way can't land any more. */
    private fun takeUp() {
        edits.forEach { (id, edit) ->
            val answer = network.answers[id] as? ApiResponse.Changed
            val result = answer?.result
            if (edit.inForceSince == null && answer?.inForce == true && result is ChangeResult.Committed) {
                edit.inForceSince = network.now
                edit.version = result.version
            }
        }
        val row = committed() ?: return
        val known =
            edits.values
                .filter { it.version >= row.version }
                .mapNotNull { it.inForceSince }
                .minOrNull() ?: return
        val open = edits.values.any { it.inForceSince == null && network.now - it.askedAt < GIVEN_UP_MILLIS }
        if (!open && network.now - known >= START_MAX_AGE_MILLIS) allowed = maxOf(row.row.ceiling, minOf(allowed, running()))
    }

    /** The team's row in the newest registry that any host has. */
    private fun committed(): VersionedRow? =
        network.hosts.values
            .maxBy { it.registry.version }
            .registry.state.rows[team]

    /** Repairs everything; then as much as the ceiling allows must run again. */
    fun heal() {
        network.cut = { _, _ -> false }
        disturb(0)
        hosts.forEach { network.resume(it) }
        hosts.filter { network.isDown(it) }.forEach { network.restart(it) }
        pass(GIVEN_UP_MILLIS)
        setCeiling(hosts.first(), HEALED_CEILING)
        pass(8_000)
        repeat(HEALED_CEILING) { submit(hosts.first(), FaultStep(0, 1, 99)) }
        val patience = network.now + REBALANCED_MILLIS
        while (running() < HEALED_CEILING && network.now < patience) pass(LOOK_MILLIS)
        check(running() == HEALED_CEILING) {
            "${running()} tasks run after everything was repaired, the ceiling is $HEALED_CEILING: " + describe()
        }
    }

    private fun describe(): String =
        network.answers.values
            .toList()
            .takeLast(9)
            .joinToString("\n") +
            network.hosts.entries.joinToString("\n") { (id, host) ->
                "$id: ${host.health()} ${host.registry.state.grants[team]} ${host.cell.loads()} held=${host.cell.state.held} " +
                    "v=${host.cell.state.configVersion} ${host.cell.state.executors.size}"
            }

    private companion object {
        const val FIRST_CEILING = 12
        const val HEALED_CEILING = 9
        const val LOOK_MILLIS = 100L
        const val START_MAX_AGE_MILLIS = 2_500L

        /** Time in which grants come to where the demand is, at one give-back a second. */
        const val REBALANCED_MILLIS = 15_000L

        /** After this time a change that nobody answered for is not tried again. */
        const val GIVEN_UP_MILLIS = 15_000L
    }
}

/** Whole hosts with lost, doubled and late messages, cuts, crashes and pauses, of the registry's leader above all. */
@PropertyDefaults(shrinking = ShrinkingMode.OFF)
class HostProperties {
    @Property(seed = "20261204", tries = TRIES)
    fun `no team runs more than its ceiling in all zones or under a withdrawn key, and it comes to its ceiling again`(
        @ForAll("blows") blows: List<FaultStep>,
        @ForAll worldSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            val world = HostSimulation(worldSeed + run)
            world.setUp()
            blows.forEach { world.play(it) }
            world.heal()
        }
    }

    @Provide
    fun blows(): Arbitrary<List<FaultStep>> {
        val action = Arbitraries.integers().between(0, 30)
        val number = Arbitraries.integers().between(0, 99)
        return Combinators
            .combine(action, number, number)
            .`as` { what, a, b -> FaultStep(what, a, b) }
            .list()
            .ofMinSize(30)
            .ofMaxSize(80)
    }

    private companion object {
        const val TRIES = 20

        /** Worlds played for each sequence; `-Dfuzz.tries=` asks for more in all. */
        val RUNS_PER_TRY: Int = maxOf(1, (System.getProperty("fuzz.tries") ?: "20").toInt() / TRIES / 3)
    }
}
