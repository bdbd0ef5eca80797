package rhubarbknot.daemon

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.builtins.ListSerializer
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.AuditRecord
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.KeyHash
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.table.QueueRow
import rhubarbknot.host.ApiRequest
import rhubarbknot.host.ApiResponse
import rhubarbknot.host.HostEvent
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** The operators' part of the HTTP interface. Every request needs the operator token. */
internal class OperatorRoutes(
    private val driver: HostDriver,
    private val token: String,
) {
    fun install(route: Route) =
        with(route) {
            get("/v1/table") {
                read(call) {
                    call.respondJson(
                        TableReply.serializer(),
                        TableReply(
                            it.version,
                            it.rows.map { row ->
                                row.row
                            },
                        ),
                    )
                }
            }
            put("/v1/table") { putTable(call) }
            post("/v1/keys/{key}") { giveKey(call) }
            delete("/v1/keys/{key}") { withdrawKey(call) }
            put("/v1/zones/{zone}") { putZone(call) }
            put("/v1/queues/{queue}") { putQueue(call) }
            get("/v1/status") { read(call) { call.respondJson(StatusReply.serializer(), status(it)) } }
            get("/v1/zones/{zone}") { zone(call) }
            get("/v1/audit") { audit(call) }
        }

    private fun status(state: ApiResponse.Registry) =
        StatusReply(state.leader.name, state.version, state.zones.map { ZoneReply(it.zone.name, it.inService) }, state.leases, state.keys)

    private suspend fun allowed(call: ApplicationCall): Boolean {
        val given = call.bearer().orEmpty()
        if (MessageDigest.isEqual(given.toByteArray(), token.toByteArray())) return true
        val who = "operator at ${call.request.local.remoteAddress}"
        driver.feed(HostEvent.Refused(who, "wrong operator token", System.currentTimeMillis()))
        call.respondJson(ErrorReply.serializer(), ErrorReply("bad_token", "this needs the operator token"), HttpStatusCode.Unauthorized)
        return false
    }

    private suspend fun read(
        call: ApplicationCall,
        answer: suspend (ApiResponse.Registry) -> Unit,
    ) {
        if (!allowed(call)) return
        val response = driver.ask(ApiRequest.ReadRegistry)
        if (response is ApiResponse.Registry) answer(response) else call.respondUnavailable()
    }

    private suspend fun putTable(call: ApplicationCall) {
        if (!allowed(call)) return
        val request = call.json(TableRequest.serializer()) ?: return
        val edit = Edit.Table(request.rows, request.remove.map { TeamId(it) }, request.whole)
        change(call, request.changeId, request.basedOn, edit)
    }

    private suspend fun giveKey(call: ApplicationCall) {
        if (!allowed(call)) return
        val request = call.json(ChangeRequest.serializer()) ?: return
        val key = call.parameters["key"].orEmpty()
        val secret = secretFor(key, request.changeId)
        val edit = Edit.GiveKey(key, TeamId(request.team.orEmpty()), KeyHash.of(secret))
        change(call, request.changeId, request.basedOn ?: 0, edit, secret)
    }

    // Derived, so that a resend after a lost answer shows the same secret; only who has the operator token can do it.
    private fun secretFor(
        key: String,
        changeId: String,
    ): String {
        val mac = Mac.getInstance("HmacSHA256")
        mac.init(SecretKeySpec(token.toByteArray(), "HmacSHA256"))
        return Base64.getUrlEncoder().withoutPadding().encodeToString(mac.doFinal("key|$key|$changeId".toByteArray()))
    }

    private suspend fun withdrawKey(call: ApplicationCall) {
        if (!allowed(call)) return
        val id = call.request.queryParameters["changeId"] ?: "withdraw-${call.parameters["key"]}"
        change(call, id, Long.MAX_VALUE, Edit.WithdrawKey(call.parameters["key"].orEmpty()))
    }

    private suspend fun putZone(call: ApplicationCall) {
        if (!allowed(call)) return
        val request = call.json(ChangeRequest.serializer()) ?: return
        val edit = Edit.SetZone(ZoneId(call.parameters["zone"].orEmpty()), request.inService ?: true)
        change(call, request.changeId, request.basedOn ?: Long.MAX_VALUE, edit)
    }

    private suspend fun putQueue(call: ApplicationCall) {
        if (!allowed(call)) return
        val request = call.json(ChangeRequest.serializer()) ?: return
        val row = QueueRow(QueueId(call.parameters["queue"].orEmpty()), TeamId(request.team.orEmpty()), request.openToAll == true)
        change(call, request.changeId, request.basedOn ?: Long.MAX_VALUE, Edit.Queue(row))
    }

    private suspend fun change(
        call: ApplicationCall,
        id: String,
        basedOn: Long,
        edit: Edit,
        secret: String? = null,
    ) {
        val actor = call.request.headers["X-Operator"] ?: "operator"
        val change = RegistryCommand.Change(ChangeId(id), actor, basedOn, System.currentTimeMillis(), edit)
        when (val response = driver.ask(ApiRequest.Change(change, CHANGE_WAIT_MILLIS))) {
            is ApiResponse.Changed -> {
                val reply = ReplyMapper.change(response)
                val status =
                    when {
                        reply.accepted && reply.inForce -> HttpStatusCode.OK
                        reply.accepted -> HttpStatusCode.Accepted
                        reply.conflict != null -> HttpStatusCode.Conflict
                        else -> HttpStatusCode.UnprocessableEntity
                    }
                call.respondJson(ChangeReply.serializer(), reply.copy(secret = secret.takeIf { reply.accepted }), status)
            }
            else -> call.respondUnavailable()
        }
    }

    private suspend fun zone(call: ApplicationCall) {
        if (!allowed(call)) return
        when (val response = driver.ask(ApiRequest.ReadZone(ZoneId(call.parameters["zone"].orEmpty())))) {
            is ApiResponse.Zone -> call.respondJson(ZoneDetail.serializer(), ReplyMapper.zone(response))
            is ApiResponse.Refused -> call.respondRefusal(response)
            else -> call.respondUnavailable()
        }
    }

    private suspend fun audit(call: ApplicationCall) {
        if (!allowed(call)) return
        val last = call.request.queryParameters["last"]?.toIntOrNull() ?: DEFAULT_AUDIT
        val response = driver.ask(ApiRequest.ReadAudit(last))
        if (response is ApiResponse.Audit) {
            call.respondJson(ListSerializer(AuditRecord.serializer()), response.records)
        } else {
            call.respondUnavailable()
        }
    }

    private companion object {
        const val CHANGE_WAIT_MILLIS = 7_000L
        const val DEFAULT_AUDIT = 100
    }
}
