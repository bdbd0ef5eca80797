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

/** HTTP routes for operators. Every request must carry the operator token. */
internal class OperatorRoutes(
    private val driver: HostDriver,
    private val token: String,
) {
    fun install(route: Route) =
        with(route) {
            get("/v1/table") {
                readRegistry(call) {
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
            get("/v1/status") { readRegistry(call) { call.respondJson(StatusReply.serializer(), statusReply(it)) } }
            get("/v1/zones/{zone}") { getZone(call) }
            get("/v1/audit") { getAudit(call) }
        }

    private fun statusReply(state: ApiResponse.Registry) =
        StatusReply(state.leader.name, state.version, state.zones.map { ZoneReply(it.zone.name, it.inService) }, state.leases, state.keys)

    private suspend fun authorize(call: ApplicationCall): Boolean {
        val presentedToken = call.bearerToken().orEmpty()
        if (MessageDigest.isEqual(presentedToken.toByteArray(), token.toByteArray())) return true
        val source = "operator at ${call.request.local.remoteAddress}"
        driver.enqueue(HostEvent.Refused(source, "wrong operator token", System.currentTimeMillis()))
        call.respondJson(
            ErrorReply.serializer(),
            ErrorReply("bad_token", "this needs the operator token"),
            HttpStatusCode.Unauthorized,
        )
        return false
    }

    private suspend fun readRegistry(
        call: ApplicationCall,
        respond: suspend (ApiResponse.Registry) -> Unit,
    ) {
        if (!authorize(call)) return
        val response = driver.ask(ApiRequest.ReadRegistry)
        if (response is ApiResponse.Registry) respond(response) else call.respondUnavailable()
    }

    private suspend fun putTable(call: ApplicationCall) {
        if (!authorize(call)) return
        val request = call.receiveJson(TableRequest.serializer()) ?: return
        val edit = Edit.Table(request.rows, request.remove.map { TeamId(it) }, request.whole)
        submitChange(call, request.changeId, request.basedOn, edit)
    }

    private suspend fun giveKey(call: ApplicationCall) {
        if (!authorize(call)) return
        val request = call.receiveJson(ChangeRequest.serializer()) ?: return
        val key = call.parameters["key"].orEmpty()
        val secret = deriveSecret(key, request.changeId)
        val edit = Edit.GiveKey(key, TeamId(request.team.orEmpty()), KeyHash.of(secret))
        submitChange(call, request.changeId, request.basedOn ?: 0, edit, secret)
    }

    // The secret is derived from the operator token, the key and the change id, so that a retry after a lost response
    // returns the same secret. Only a holder of the operator token can derive it.
    private fun deriveSecret(
        key: String,
        changeId: String,
    ): String {
        val mac = Mac.getInstance("HmacSHA256")
        mac.init(SecretKeySpec(token.toByteArray(), "HmacSHA256"))
        return Base64.getUrlEncoder().withoutPadding().encodeToString(mac.doFinal("key|$key|$changeId".toByteArray()))
    }

    private suspend fun withdrawKey(call: ApplicationCall) {
        if (!authorize(call)) return
        val id = call.request.queryParameters["changeId"] ?: "withdraw-${call.parameters["key"]}"
        submitChange(call, id, Long.MAX_VALUE, Edit.WithdrawKey(call.parameters["key"].orEmpty()))
    }

    private suspend fun putZone(call: ApplicationCall) {
        if (!authorize(call)) return
        val request = call.receiveJson(ChangeRequest.serializer()) ?: return
        val edit = Edit.SetZone(ZoneId(call.parameters["zone"].orEmpty()), request.inService ?: true)
        submitChange(call, request.changeId, request.basedOn ?: Long.MAX_VALUE, edit)
    }

    private suspend fun putQueue(call: ApplicationCall) {
        if (!authorize(call)) return
        val request = call.receiveJson(ChangeRequest.serializer()) ?: return
        val row = QueueRow(QueueId(call.parameters["queue"].orEmpty()), TeamId(request.team.orEmpty()), request.openToAll == true)
        submitChange(call, request.changeId, request.basedOn ?: Long.MAX_VALUE, Edit.Queue(row))
    }

    private suspend fun submitChange(
        call: ApplicationCall,
        id: String,
        basedOn: Long,
        edit: Edit,
        secret: String? = null,
    ) {
        val actor = call.request.headers["X-Operator"] ?: "operator"
        val change = RegistryCommand.Change(ChangeId(id), actor, basedOn, System.currentTimeMillis(), edit)
        when (val response = driver.ask(ApiRequest.Change(change, CHANGE_TIMEOUT_MILLIS))) {
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

    private suspend fun getZone(call: ApplicationCall) {
        if (!authorize(call)) return
        when (val response = driver.ask(ApiRequest.ReadZone(ZoneId(call.parameters["zone"].orEmpty())))) {
            is ApiResponse.Zone -> call.respondJson(ZoneDetail.serializer(), ReplyMapper.zone(response))
            is ApiResponse.Refused -> call.respondRefusal(response)
            else -> call.respondUnavailable()
        }
    }

    private suspend fun getAudit(call: ApplicationCall) {
        if (!authorize(call)) return
        val last = call.request.queryParameters["last"]?.toIntOrNull() ?: DEFAULT_AUDIT_RECORDS
        val response = driver.ask(ApiRequest.ReadAudit(last))
        if (response is ApiResponse.Audit) {
            call.respondJson(ListSerializer(AuditRecord.serializer()), response.records)
        } else {
            call.respondUnavailable()
        }
    }

    private companion object {
        const val CHANGE_TIMEOUT_MILLIS = 7_000L
        const val DEFAULT_AUDIT_RECORDS = 100
    }
}
