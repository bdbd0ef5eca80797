package rhubarbknot.flow.world

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.EligibilitySettings
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Pool
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.Team
import rhubarbknot.flow.node.FlowAnswer
import rhubarbknot.flow.node.FlowRequest
import rhubarbknot.flow.node.Refusal
import rhubarbknot.flow.node.RequestTarget
import rhubarbknot.flow.state.JobPhase

/** Callers and operators of a [SimulatedCluster]: they try again at other nodes, and remember what they were told. */
internal class SimulatedCallers(
    private val world: SimulatedCluster,
    private val ceiling: Resources,
) {
    val accepted = LinkedHashSet<String>()

    /** What callers were last told of each accepted job. */
    val phases = HashMap<String, JobPhase>()

    /** Broken promises that show in answers. */
    val broken = ArrayList<String>()
    private val refused = HashSet<String>()
    private val attempts = HashMap<String, Int>()
    private var jobs = 0
    private var version = 0L
    var acknowledgedVersion = 0L
        private set

    fun configure() {
        val next = configuration(++version)
        order(FlowRequest.Configure(next)) { acknowledgedVersion = maxOf(acknowledgedVersion, next.version) }
    }

    private fun order(
        request: FlowRequest,
        done: () -> Unit,
    ) {
        world.ask(world.controls[world.random.nextInt(world.controls.size)], request) { answer ->
            if (answer == FlowAnswer.Done) done() else world.after(RETRY_MILLIS) { order(request, done) }
        }
    }

    private fun configuration(version: Long): Configuration {
        val eligibility = EligibilitySettings(10.0, 0.5, 2_000)
        val queues =
            listOf("urgent" to 0, "later" to 2).map { (name, priority) ->
                Queue(
                    name,
                    "host",
                    "/$name/",
                    "pool",
                    priority,
                    maxAttempts = 50,
                    slackFactor = 2.0,
                    targetMillis = 500,
                    eligibility = eligibility,
                )
            }
        return Configuration(
            version,
            queues,
            listOf(Pool("pool")),
            listOf(Team("team", listOf("key"), ceiling = ceiling)),
            document = "$version",
        )
    }

    fun submit() {
        val random = world.random
        val id = "job-${++jobs}"
        val steps =
            List(1 + random.nextInt(2)) { i ->
                val gang = random.nextInt(4) == 0
                val demand = Resources(milliCpus = 500 * (1 + random.nextInt(3)), memoryMb = 100)
                StepSpec(
                    1 + random.nextInt(3),
                    demand,
                    400,
                    if (i >
                        0
                    ) {
                        listOf(i - 1)
                    } else {
                        emptyList()
                    },
                    gang,
                    spreadLimit = random.nextInt(3),
                )
            }
        val queue = if (random.nextBoolean()) "urgent" else "later"
        world.oracle.submitted(JobRequest(id, queue, "team", "payload", steps))
        val isOnceOnly = random.nextInt(8) == 0
        handIn(id, FlowRequest.Submit(RequestTarget("host", "/$queue/$id", "key"), "payload", steps), isOnceOnly)
    }

    private fun handIn(
        id: String,
        request: FlowRequest.Submit,
        isOnceOnly: Boolean,
    ) {
        attempts.merge(id, 1, Int::plus)
        world.ask(world.gateways[world.random.nextInt(world.gateways.size)], request) { answer ->
            when {
                answer == FlowAnswer.Done -> accepted += id
                isOnceOnly && answer is FlowAnswer.Refused -> refused += id
                else -> world.after(RETRY_MILLIS) { handIn(id, request, isOnceOnly = false) }
            }
        }
    }

    /** Asks for the state of each accepted job. */
    fun askAll() =
        accepted.filter { phases[it]?.isFinal != true }.forEach { id ->
            val path = listOf("urgent", "later").map { "/$it/$id" }
            val request = FlowRequest.Ask(RequestTarget("host", path[world.random.nextInt(2)], "key"))
            world.ask(world.gateways[world.random.nextInt(world.gateways.size)], request) { answer -> told(id, answer) }
        }

    private fun told(
        id: String,
        answer: FlowAnswer?,
    ) {
        if (answer is FlowAnswer.Refused && answer.reason == Refusal.UNKNOWN_JOB) broken += "${world.now} LOST $id"
        if (answer !is FlowAnswer.JobIs) return
        phases[id] = answer.phase
        if (answer.phase == JobPhase.COMPLETED && !world.oracle.isWhole(id)) broken += "${world.now} MIXED $id is shown as completed"
    }

    /** Checks what can be checked once all is calm again. */
    fun checkAtEnd() {
        accepted.filter { phases[it] != JobPhase.COMPLETED }.forEach { broken += "LOST $it is ${phases[it]}" }
        refused.filter { world.oracle.hasRun(it) }.forEach { broken += "REFUSED $it has run" }
        world.controls.forEach { control ->
            world.ask(control, FlowRequest.ReadConfiguration) { answer ->
                val read = (answer as? FlowAnswer.ConfigurationIs)?.document?.toLong() ?: 0
                if (read < acknowledgedVersion) broken += "CONFIG ${control.address} reads $read after $acknowledgedVersion"
            }
        }
    }

    private companion object {
        const val RETRY_MILLIS = 250L
    }
}
