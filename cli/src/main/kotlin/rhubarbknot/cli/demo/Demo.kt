package rhubarbknot.cli.demo

import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.table.TeamRow
import rhubarbknot.daemon.MonotonicClock
import rhubarbknot.standins.EntryClient
import rhubarbknot.standins.InvariantMonitor
import java.util.SplittableRandom

/**
 * Demo workload of the Kaki Sahel deployment: shift-calls, tallies, sorting and a gang. Meanwhile a zone is drained and
 * put back in service, a key is withdrawn, a daemon is killed, and a zone is partitioned and reconnected.
 */
class Demo(
    seed: Long,
    private val seconds: Int,
    private val progress: (String) -> Unit,
) {
    private val clock = MonotonicClock()
    private val observer = InvariantMonitor(clock::millis)
    private val http = EntryClient.newHttpClient()
    private val cluster = InProcessCluster(seed, http, observer, clock::millis)
    private val random = SplittableRandom(seed)
    private lateinit var client: EntryClient
    private lateinit var submitter: JobSubmitter
    private val keys = HashMap<String, String>()
    private var submittedCount = 0

    /** Runs the workload for [seconds], then waits for outstanding answers. */
    suspend fun run(): DemoResult =
        withContext(Dispatchers.Default) {
            try {
                cluster.start()
                progress("starting nine entry daemons in three zones")
                while (!cluster.isReady) delay(POLL_MILLIS)
                client = EntryClient(cluster.addresses, http)
                submitter = JobSubmitter(client)
                runScenario()
            } finally {
                cluster.close()
                http.close()
            }
        }

    private suspend fun runScenario(): DemoResult {
        val operator = OperatorClient(client, cluster.operatorToken)
        operator.applyTable(TABLE)
        TABLE.forEach { row ->
            observer.setCeiling(row.team.name, row.ceiling)
            keys[row.team.name] = operator.issueKey("key-${row.team}", row.team.name)
        }
        progress("table and keys are in force")
        val begin = clock.millis()
        coroutineScope {
            launch { injectFaults(operator, begin) }
            submitLoad(begin)
        }
        return DemoReport(submitter.results(), observer, explainSlowestJob()).result()
    }

    private suspend fun waitForPart(
        begin: Long,
        part: Int,
    ) = delay(maxOf(0, begin + seconds * MILLIS_PER_SECOND * part / PARTS - clock.millis()))

    private suspend fun injectFaults(
        operator: OperatorClient,
        begin: Long,
    ) {
        waitForPart(begin, 2)
        progress("operators take zone kalaa out of service")
        operator.setZoneInService("kalaa", inService = false)
        observer.markZoneDrained("kalaa", DRAIN_GRACE_MILLIS)
        waitForPart(begin, 4)
        observer.markZoneInService("kalaa")
        operator.setZoneInService("kalaa", inService = true)
        progress("zone kalaa is back; the key of team lateclerks is withdrawn")
        operator.withdrawKey("key-lateclerks")
        lateClerksKeyWithdrawn = true
        waitForPart(begin, 5)
        val killedHost = cluster.topology.hosts.first { it.zone.name == "msaken" }
        progress("entry daemon ${killedHost.id} is killed")
        cluster.kill(killedHost.id)
        waitForPart(begin, 6)
        progress("zone jemmal is cut off")
        cluster.cutOff("jemmal")
        waitForPart(begin, 8)
        cluster.reconnect("jemmal")
        progress("zone jemmal is connected again")
    }

    @Volatile
    private var lateClerksKeyWithdrawn = false

    private suspend fun CoroutineScope.submitLoad(begin: Long) {
        val deadline = begin + seconds * MILLIS_PER_SECOND + ANSWER_TIMEOUT_MILLIS
        val submissions = ArrayList<Job>()
        submissions += launch { submitter.submit(gang(), deadline, clock::millis) }
        while (clock.millis() < begin + seconds * MILLIS_PER_SECOND) {
            val job = nextJob()
            submissions += launch { submitter.submit(job, deadline, clock::millis) }
            if (submittedCount % PROGRESS_EVERY ==
                0
            ) {
                progress(
                    "${(clock.millis() - begin) / MILLIS_PER_SECOND} s: $submittedCount submitted, ${submitter.results().size} answered",
                )
            }
            delay(random.nextLong(2 * MEAN_GAP_MILLIS) + 1)
        }
        progress("load finished; waiting for outstanding answers")
        submissions.joinAll()
    }

    private fun nextJob(): DemoJob {
        val crew = listOf("crewnorth", "crewsouth")[random.nextInt(2)]
        return when (random.nextInt(10)) {
            0, 1, 2 ->
                newJob(
                    crew,
                    "shift-call",
                    """"kind":"call","idempotent":false,"urgent":true,"expectedRunMillis":20""",
                    expectsAnswer = true,
                )
            3, 4, 5, 6 -> newJob(crew, "tally", """"kind":"call","expectedRunMillis":30""", expectsAnswer = true)
            7 -> newJob("lateclerks", "tally", """"kind":"call","expectedRunMillis":10""", expectsAnswer = true)
            else ->
                newJob(
                    "clerks",
                    "sorting",
                    """"kind":"batch","processors":2,"memoryMb":1024,"expectedRunMillis":400""",
                    expectsAnswer = true,
                )
        }
    }

    private fun gang(): DemoJob =
        newJob("clerks", "lot pressing", """"kind":"batch","tasks":4,"gang":true,"processors":4,"memoryMb":512,"expectedRunMillis":1500""")

    private fun newJob(
        team: String,
        workload: String,
        fields: String,
        expectsAnswer: Boolean = false,
    ): DemoJob {
        val id = "$workload-${submittedCount++}".replace(' ', '-')
        if (team == "lateclerks" && lateClerksKeyWithdrawn) observer.mustNotRun(id)
        return DemoJob(id, team, workload, keys.getValue(team), fields, expectsAnswer)
    }

    private suspend fun explainSlowestJob(): List<String> {
        val slowest = submitter.results().maxByOrNull { it.waitedMillis } ?: return emptyList()
        val path = "/v1/jobs/${slowest.job.team}/${slowest.job.id}/explain"
        val answer = client.send(HttpMethod.Get, path, slowest.job.key)
        val sentences = Json.parseToJsonElement(answer.body).jsonObject["sentences"]?.jsonArray ?: return emptyList()
        return listOf("${slowest.job.workload} ${slowest.job.id} of team ${slowest.job.team}:") +
            sentences.map { "  " + it.jsonPrimitive.content }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val PARTS = 10
        const val POLL_MILLIS = 50L
        const val ANSWER_TIMEOUT_MILLIS = 15_000L
        const val DRAIN_GRACE_MILLIS = 3_000L
        const val MEAN_GAP_MILLIS = 12L
        const val PROGRESS_EVERY = 250
        val TABLE =
            listOf(
                TeamRow(TeamId("crewnorth"), share = 3, ceiling = 40),
                TeamRow(TeamId("crewsouth"), share = 3, ceiling = 40),
                TeamRow(TeamId("clerks"), share = 2, ceiling = 24),
                TeamRow(TeamId("lateclerks"), share = 1, ceiling = 9),
            )
    }
}
