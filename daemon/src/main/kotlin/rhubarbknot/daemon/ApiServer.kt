package rhubarbknot.daemon

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.server.websocket.WebSockets
import io.ktor.server.websocket.webSocket
import kotlinx.serialization.KSerializer
import rhubarbknot.core.explain.WaitExplainer
import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.KeyHash
import rhubarbknot.core.table.Finding
import rhubarbknot.host.ApiRequest
import rhubarbknot.host.ApiResponse
import rhubarbknot.wire.HostPort
import java.nio.ByteBuffer
import java.security.SecureRandom

/** HTTP server of an entry host. Serves callers, operators, executors, health checks and metrics. */
class ApiServer(
    private val address: HostPort,
    private val zone: String,
    zones: List<ZoneId>,
    private val driver: HostDriver,
    private val executors: ExecutorSockets,
    private val metrics: HostMetrics,
    operatorToken: String,
) : AutoCloseable {
    private val random = SecureRandom()
    private val operatorRoutes = OperatorRoutes(driver, operatorToken)
    private val spreader = ZoneSpreader(zones, driver::ask)
    private var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    fun start() {
        val engine =
            embeddedServer(CIO, configure = {
                connector {
                    host = address.host
                    port = address.port
                }
                connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
            }) {
                install(WebSockets)
                routing {
                    callerRoutes()
                    operatorRoutes.install(this)
                    statusRoutes()
                    webSocket("/v1/executors") { executors.serve(this) }
                }
            }
        server = engine
        engine.start(wait = false)
    }

    private fun Route.callerRoutes() {
        post("/v1/jobs") { submit(call) }
        get("/v1/jobs/{team}/{id}") { lookUp(call) }
        get("/v1/jobs/{team}/{id}/explain") { explain(call) }
        delete("/v1/jobs/{team}/{id}") { cancel(call, listOf(jobIdOf(call))) }
        post("/v1/cancel") {
            val request = call.receiveJson(CancelRequest.serializer()) ?: return@post
            val jobs = request.jobs.map { JobId(TeamId(it.substringBefore('/')), it.substringAfter('/')) }
            cancel(call, jobs)
        }
    }

    private fun Route.statusRoutes() {
        get("/metrics") { call.respondText(metrics.registry.scrape()) }
        get("/health") { call.respondText("ok") }
        get("/ready") {
            val ready = driver.health?.isReady == true
            call.respondText(
                if (ready) "ready" else "not ready",
                status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable,
            )
        }
    }

    private suspend fun submit(call: ApplicationCall) {
        val startNanos = System.nanoTime()
        val body = call.receiveBoundedText() ?: return
        val request = JobRequestValidator().parse(body).getOrElse { return call.badRequest(it) }
        val spec = JobRequestValidator.specOf(request)
        val localId = request.id ?: "$zone.${randomJobId()}"
        val submission =
            ApiRequest.Submit(
                keyHash = call.keyHash(),
                queue = QueueId(request.queue),
                localId = localId,
                spec = spec,
                waitMillis = request.waitMillis,
                fingerprint = fingerprint(request.queue, spec),
            )
        val code = if (request.spreadZones) call.respondSpread(spreader.submit(submission)) else call.respondJob(driver.ask(submission))
        metrics.recordRequest(code, System.nanoTime() - startNanos)
    }

    private fun randomJobId(): String {
        val bytes = ByteArray(JOB_ID_BYTES)
        random.nextBytes(bytes)
        return bytes.joinToString("") { "%02x".format(it) }
    }

    private fun fingerprint(
        queue: String,
        spec: JobSpec,
    ): Long {
        val bytes = Codec.encode(JobSpec.serializer(), spec) + queue.toByteArray()
        return ByteBuffer.wrap(Codec.sha256(bytes)).getLong()
    }

    private fun jobIdOf(call: ApplicationCall): JobId = JobId(TeamId(call.parameters["team"].orEmpty()), call.parameters["id"].orEmpty())

    private suspend fun lookUp(call: ApplicationCall) {
        val wait = call.request.queryParameters["wait"]?.toLongOrNull() ?: 0
        if (wait !in 0..JobRequestValidator.MAX_WAIT_MILLIS) {
            return call.badRequest(listOf(Finding("query", 0, "wait", wait.toString(), "0 to ${JobRequestValidator.MAX_WAIT_MILLIS}")))
        }
        call.respondJob(driver.ask(ApiRequest.LookUp(call.keyHash(), jobIdOf(call), waitMillis = wait)))
    }

    private suspend fun explain(call: ApplicationCall) {
        val response = driver.ask(ApiRequest.LookUp(call.keyHash(), jobIdOf(call)))
        if (response !is ApiResponse.Job) {
            call.respondJob(response)
            return
        }
        val waits = response.status.waits
        val team = response.status.id.team
        val reply =
            ExplainReply(
                id = response.status.id.toString(),
                zone = response.zone.name,
                waitedMillis = waits.sumOf { it.millis },
                intervals = waits.map { IntervalReply(it.reason.name.lowercase(), it.millis) },
                sentences = WaitExplainer.explain(team, response.zone.name, waits),
                advice = WaitExplainer.advice(waits),
            )
        call.respondJson(ExplainReply.serializer(), reply)
    }

    /** Cancels each job in the zone that currently holds it, which may differ from the zone that accepted it. */
    private suspend fun cancel(
        call: ApplicationCall,
        jobs: List<JobId>,
    ) {
        val jobsByZone = LinkedHashMap<ZoneId, MutableList<JobId>>()
        var missing = 0
        for (job in jobs) {
            when (val lookup = driver.ask(ApiRequest.LookUp(call.keyHash(), job))) {
                is ApiResponse.Job -> jobsByZone.getOrPut(lookup.zone) { ArrayList() }.add(job)
                is ApiResponse.Refused -> if (lookup.reason.name == "NO_SUCH_JOB") missing++ else return call.respondRefusal(lookup)
                else -> return call.respondUnavailable()
            }
        }
        val replies = jobsByZone.map { (zone, zoneJobs) -> driver.ask(ApiRequest.Cancel(call.keyHash(), zoneJobs, zone)) }
        replies.filterIsInstance<ApiResponse.Refused>().firstOrNull()?.let { return call.respondRefusal(it) }
        val cancelled = replies.filterIsInstance<ApiResponse.Cancelled>()
        if (cancelled.size < replies.size) return call.respondUnavailable()
        call.respondJson(CancelReply.serializer(), CancelReply(cancelled.sumOf { it.stopped }, missing + cancelled.sumOf { it.missing }))
    }

    /** Stops accepting connections and gives requests in progress up to [graceMillis] to complete. */
    fun stopAccepting(graceMillis: Long) {
        server?.stop(graceMillis, graceMillis)
    }

    override fun close() {
        server?.stop(0, CLOSE_TIMEOUT_MILLIS)
    }

    private companion object {
        const val IDLE_TIMEOUT_SECONDS = 120
        const val JOB_ID_BYTES = 12
        const val CLOSE_TIMEOUT_MILLIS = 500L
    }
}

/** Reads the request body as text. Responds with an error and returns null if the body is too large or has no length. */
internal suspend fun ApplicationCall.receiveBoundedText(): String? {
    val length = request.contentLength()
    if (length == null || length > JobRequestValidator.MAX_BODY_BYTES) {
        val detail = "a body needs a Content-Length of at most ${JobRequestValidator.MAX_BODY_BYTES}"
        respondJson(ErrorReply.serializer(), ErrorReply("body_too_large", detail), HttpStatusCode.PayloadTooLarge)
        return null
    }
    return receiveText()
}

/** Parses the request body as [T]. Responds with an error and returns null if the body is invalid. */
internal suspend fun <T> ApplicationCall.receiveJson(serializer: KSerializer<T>): T? {
    val text = receiveBoundedText() ?: return null
    return try {
        apiJson.decodeFromString(serializer, text)
    } catch (e: IllegalArgumentException) {
        val firstLine =
            e.message
                .orEmpty()
                .lineSequence()
                .first()
        badRequest(listOf(Finding("body", 0, "", "", firstLine)))
        null
    }
}

internal fun ApplicationCall.keyHash(): String? = bearerToken()?.let { KeyHash.of(it) }

internal fun ApplicationCall.bearerToken(): String? =
    request
        .header(HttpHeaders.Authorization)
        ?.takeIf { it.startsWith("Bearer ") }
        ?.removePrefix("Bearer ")
        ?.trim()

internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(apiJson.encodeToString(serializer, value), ContentType.Application.Json, status)

internal suspend fun ApplicationCall.badRequest(findings: List<Finding>) =
    respondJson(
        ErrorReply.serializer(),
        ErrorReply("bad_request", "the request was not understood; nothing was done", findings = findings),
        HttpStatusCode.BadRequest,
    )

internal suspend fun ApplicationCall.respondRefusal(response: ApiResponse.Refused) =
    respondJson(
        ErrorReply.serializer(),
        ErrorReply(ReplyMapper.code(response.reason), response.detail),
        ReplyMapper.statusOf(response.reason),
    )

internal suspend fun ApplicationCall.respondUnavailable() =
    respondJson(
        ErrorReply.serializer(),
        ErrorReply("unavailable", "no answer in time; ask again", outcome = "unknown"),
        HttpStatusCode.GatewayTimeout,
    )

/** Responds with the state of a job. Returns the code under which the request is counted in the metrics. */
internal suspend fun ApplicationCall.respondJob(response: ApiResponse): String {
    when (response) {
        is ApiResponse.Job -> {
            val reply = ReplyMapper.job(response.status, response.zone.name)
            respondJson(JobReply.serializer(), reply, if (reply.outcome == null) HttpStatusCode.Accepted else HttpStatusCode.OK)
            return reply.outcome ?: reply.phase.orEmpty()
        }
        is ApiResponse.Refused -> {
            respondRefusal(response)
            return ReplyMapper.code(response.reason)
        }
        is ApiResponse.Unknown -> {
            respondJson(JobReply.serializer(), ReplyMapper.job(response, ""), HttpStatusCode.GatewayTimeout)
            return "unknown"
        }
        else -> {
            respondUnavailable()
            return "unavailable"
        }
    }
}

/** Responds with the parts of a job split across zones. Returns the code under which the request is counted in the metrics. */
internal suspend fun ApplicationCall.respondSpread(reply: SpreadReply): String {
    val ended = reply.parts.all { it.outcome != null }
    respondJson(SpreadReply.serializer(), reply, if (ended) HttpStatusCode.OK else HttpStatusCode.Accepted)
    return "spread"
}
