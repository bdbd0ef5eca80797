package rhubarbknot.daemon

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import rhubarbknot.core.model.ZoneId
import rhubarbknot.host.ApiRequest
import rhubarbknot.host.ApiResponse
import rhubarbknot.host.ZonePart
import rhubarbknot.host.ZoneSpread

/** Submits a job as one part for each zone. Each part has its own outcome and is asked about under its own id. */
internal class ZoneSpreader(
    private val zones: List<ZoneId>,
    private val ask: suspend (ApiRequest) -> ApiResponse,
) {
    suspend fun submit(whole: ApiRequest.Submit): SpreadReply =
        coroutineScope {
            val parts = ZoneSpread.parts(whole.localId, whole.spec.tasks, zones)
            val replies = parts.map { async { submit(whole, it) } }
            SpreadReply(whole.localId, replies.awaitAll())
        }

    private suspend fun submit(
        whole: ApiRequest.Submit,
        part: ZonePart,
    ): JobReply {
        // The fingerprint stays that of the whole, so that a resend of another request fails in every part.
        val response = ask(whole.copy(localId = part.localId, spec = whole.spec.copy(tasks = part.tasks)))
        return ReplyMapper.job(response, part.localId)
    }
}
