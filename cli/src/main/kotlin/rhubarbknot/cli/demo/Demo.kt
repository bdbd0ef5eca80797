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
 * A small morning of Kaki Sahel: shift-calls, tallies, sorting, a gang and a service, while a zone is drained and
 * comes back, a key is withdrawn, a daemon is killed, and a zone is cut off and healed.
 */
class Demo(
    seed: Long,
    private val seconds: Int,
    private val progress: (String) -> Unit,
) {
    private val clock = MonotonicClock()
    private val observer = InvariantMonitor(clock::millis)
    private val http = EntryClient.newHttpClient()
    private val cell = DemoCell(seed, http, observer, clock::millis)
    private val random = SplittableRandom(seed)
    private lateinit var client: EntryClient
    private lateinit var callers: CallerBook
    private val keys = HashMap<String, String>()
    private var number = 0

    /** Runs the morning; takes about [seconds] and a few more. */
    suspend fun run(): DemoResult =
        withContext(Dispatchers.Default) {
            try {
                cell.start()
                progress("starting nine entry daemons in three zones")
                while (!cell.isReady) delay(POLL_MILLIS)
                client = EntryClient(cell.addresses, http)
                callers = CallerBook(client)
                morning()
            } finally {
                cell.close()
                http.close()
            }
        }

    private suspend fun morning(): DemoResult {
        val operator = Operator(client, cell.operatorToken)
        operator.table(TABLE)
        TABLE.forEach { row ->
            observer.setCeiling(row.team.name, row.ceiling)
            keys[row.team.name] = operator.key("key-${row.team}", row.team.name)
        }
        progress("table and keys are in force")
        val begin = clock.millis()
        coroutineScope {
            launch { drills(operator, begin) }
            load(begin)
        }
        return DemoReport(callers.told(), observer, slowestExplained()).result()
    }

    private suspend fun at(
        begin: Long,
        part: Int,
    ) = delay(maxOf(0, begin + seconds * MILLIS * part / PARTS - clock.millis()))

    private suspend fun drills(
        operator: Operator,
        begin: Long,
    ) {
        at(begin, 2)
        progress("operators take zone kalaa out of service")
        operator.zone("kalaa", inService = false)
        observer.markZoneDrained("kalaa", DRAIN_GRACE_MILLIS)
        at(begin, 4)
        observer.markZoneInService("kalaa")
        operator.zone("kalaa", inService = true)
        progress("zone kalaa is back; the key of team lateclerks is withdrawn")
        operator.withdraw("key-lateclerks")
        withdrawn = true
        at(begin, 5)
        val victim = cell.topology.hosts.first { it.zone.name == "msaken" }
        progress("entry daemon ${victim.id} is killed")
        cell.kill(victim.id)
        at(begin, 6)
        progress("zone jemmal is cut off")
        cell.cutOff("jemmal")
        at(begin, 8)
        cell.heal("jemmal")
        progress("zone jemmal is connected again")
    }

    @Volatile
    private var withdrawn = false

    private suspend fun CoroutineScope.load(begin: Long) {
        val deadline = begin + seconds * MILLIS + PATIENCE_MILLIS
        val asking = ArrayList<Job>()
        asking += launch { callers.ask(gang(), deadline, clock::millis) }
        while (clock.millis() < begin + seconds * MILLIS) {
            val wish = nextWish()
            asking += launch { callers.ask(wish, deadline, clock::millis) }
            if (number % PROGRESS_EVERY ==
                0
            ) {
                progress("${(clock.millis() - begin) / MILLIS} s: $number asked, ${callers.told().size} answered")
            }
            delay(random.nextLong(2 * MEAN_GAP_MILLIS) + 1)
        }
        progress("the morning is over; waiting for the last answers")
        asking.joinAll()
    }

    private fun nextWish(): Wish {
        val crew = listOf("crewnorth", "crewsouth")[random.nextInt(2)]
        return when (random.nextInt(10)) {
            0, 1, 2 ->
                wish(
                    crew,
                    "shift-call",
                    """"kind":"call","idempotent":false,"urgent":true,"expectedRunMillis":20""",
                    answered = true,
                )
            3, 4, 5, 6 -> wish(crew, "tally", """"kind":"call","expectedRunMillis":30""", answered = true)
            7 -> wish("lateclerks", "tally", """"kind":"call","expectedRunMillis":10""", answered = true)
            else -> wish("clerks", "sorting", """"kind":"batch","processors":2,"memoryMb":1024,"expectedRunMillis":400""", answered = true)
        }
    }

    private fun gang(): Wish =
        wish("clerks", "lot pressing", """"kind":"batch","tasks":4,"gang":true,"processors":4,"memoryMb":512,"expectedRunMillis":1500""")

    private fun wish(
        team: String,
        what: String,
        fields: String,
        answered: Boolean = false,
    ): Wish {
        val id = "$what-${number++}".replace(' ', '-')
        if (team == "lateclerks" && withdrawn) observer.mustNotRun(id)
        return Wish(id, team, what, keys.getValue(team), fields, answered)
    }

    private suspend fun slowestExplained(): List<String> {
        val slowest = callers.told().maxByOrNull { it.waitedMillis } ?: return emptyList()
        val path = "/v1/jobs/${slowest.wish.team}/${slowest.wish.id}/explain"
        val answer = client.send(HttpMethod.Get, path, slowest.wish.key)
        val sentences = Json.parseToJsonElement(answer.body).jsonObject["sentences"]?.jsonArray ?: return emptyList()
        return listOf("${slowest.wish.what} ${slowest.wish.id} of team ${slowest.wish.team}:") +
            sentences.map { "  " + it.jsonPrimitive.content }
    }

    private companion object {
        const val MILLIS = 1_000L
        const val PARTS = 10
        const val POLL_MILLIS = 50L
        const val PATIENCE_MILLIS = 15_000L
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
