package rhubarbknot.daemon

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import rhubarbknot.core.model.ZoneId
import rhubarbknot.host.ApiRequest
import rhubarbknot.host.ApiResponse
import rhubarbknot.host.ZonePart
import rhubarbknot.host.ZoneSpread

/** Splits a job into one part per zone and submits each part. Each part has its own id and outcome and is queried by that id. */
internal class ZoneSpreader(
    private val zones: List<ZoneId>,
    private val ask: suspend (ApiRequest) -> ApiResponse,
) {
    suspend fun submit(submission: ApiRequest.Submit): SpreadReply =
        coroutineScope {
            val parts = ZoneSpread.parts(submission.localId, submission.spec.tasks, zones)
            val replies = parts.map { async { submitPart(submission, it) } }
            SpreadReply(submission.localId, replies.awaitAll())
        }

    private suspend fun submitPart(
        submission: ApiRequest.Submit,
        part: ZonePart,
    ): JobReply {
        // Every part carries the fingerprint of the whole job, so that reusing the id for a different request fails in every part.
        val response = ask(submission.copy(localId = part.localId, spec = submission.spec.copy(tasks = part.tasks)))
        return ReplyMapper.job(response, part.localId)
    }
}
