package rhubarbknot.cli.operate

import io.ktor.client.HttpClient
import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import rhubarbknot.cli.Command
import rhubarbknot.cli.ExitCode
import rhubarbknot.daemon.ErrorReply
import rhubarbknot.standins.EntryClient
import rhubarbknot.standins.EntryResponse
import rhubarbknot.standins.HttpHeader
import java.io.IOException

/** Failure of a command; the message is for users, the exit code for scripts. */
class CommandFailedException(
    message: String,
    val exitCode: Int,
) : Exception(message)

/** A command that talks to entry hosts. Connection settings come from flags or from the environment. */
@OptIn(ExperimentalCli::class)
abstract class RemoteCommand(
    name: String,
    description: String,
) : Command(name, "$description. $EXIT_CODES") {
    private val hosts by option(ArgType.String, "hosts", description = "Entry hosts, ADDRESS:PORT,... (RHUBARBKNOT_HOSTS)")
    private val token by option(ArgType.String, "token", description = "Operator token (RHUBARBKNOT_OPERATOR_TOKEN)")
    private val key by option(ArgType.String, "key", description = "Key of a team (RHUBARBKNOT_KEY)")
    private val operator by option(ArgType.String, "operator", description = "Name for the audit trail (RHUBARBKNOT_OPERATOR)")
    protected val json by option(ArgType.Boolean, "json", description = "Print JSON for scripts").default(false)

    private lateinit var client: EntryClient

    protected val operatorToken: String? get() = token ?: System.getenv("RHUBARBKNOT_OPERATOR_TOKEN")
    protected val teamKey: String? get() = key ?: System.getenv("RHUBARBKNOT_KEY")

    final override fun run(): Int {
        val addresses =
            (hosts ?: System.getenv("RHUBARBKNOT_HOSTS"))
                .orEmpty()
                .split(',')
                .map { it.trim() }
                .filter { it.isNotEmpty() }
        if (addresses.isEmpty()) {
            System.err.println("no entry hosts configured: set --hosts or RHUBARBKNOT_HOSTS")
            return ExitCode.BAD_INPUT
        }
        return operateWith(addresses, EntryClient.newHttpClient())
    }

    private fun operateWith(
        addresses: List<String>,
        http: HttpClient,
    ): Int =
        http.use {
            client = EntryClient(addresses, http)
            try {
                runBlocking { operate() }
            } catch (e: CommandFailedException) {
                System.err.println(e.message)
                e.exitCode
            } catch (e: IOException) {
                System.err.println(e.message)
                ExitCode.UNREACHABLE
            }
        }

    /** Does the work and returns an [ExitCode]. */
    protected abstract suspend fun operate(): Int

    /** Sends a request and returns the body of a successful answer. */
    protected suspend fun send(
        method: HttpMethod,
        path: String,
        bearer: String? = operatorToken,
        body: String? = null,
    ): String {
        val name = operator ?: System.getenv("RHUBARBKNOT_OPERATOR") ?: System.getProperty("user.name")
        val answer = client.send(method, path, bearer, body, listOf(HttpHeader("X-Operator", name)))
        if (answer.status in SUCCESS_STATUSES) return answer.body
        throw failureOf(answer)
    }

    private fun failureOf(answer: EntryResponse): CommandFailedException {
        val text =
            try {
                val reply = lenient.decodeFromString(ErrorReply.serializer(), answer.body)
                (listOf("${reply.code}: ${reply.detail}") + reply.findings.map { "  $it" }).joinToString("\n")
            } catch (_: IllegalArgumentException) {
                answer.body
            }
        val code =
            when (answer.status) {
                BAD_REQUEST -> ExitCode.BAD_INPUT
                CONFLICT -> ExitCode.CONFLICT
                UNAVAILABLE, TIMEOUT -> ExitCode.UNREACHABLE
                else -> ExitCode.REFUSED
            }
        return CommandFailedException(text, code)
    }

    protected suspend fun <T> read(
        serializer: KSerializer<T>,
        path: String,
        bearer: String? = operatorToken,
    ): T = lenient.decodeFromString(serializer, send(HttpMethod.Get, path, bearer))

    protected fun <T> decode(
        serializer: KSerializer<T>,
        text: String,
    ): T = lenient.decodeFromString(serializer, text)

    protected fun badInput(message: String): Nothing = throw CommandFailedException(message, ExitCode.BAD_INPUT)

    private companion object {
        const val EXIT_CODES = "Exit codes: 0 done, 1 refused, 2 bad input, 3 conflict, 4 unreachable"
        val SUCCESS_STATUSES = 200..299
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
        const val TIMEOUT = 504
        val lenient = Json { ignoreUnknownKeys = true }
    }
}
