package rhubarbknot.host

import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.Registry

/**
 * Routes requests received at this host to the responsible group and correlates the responses. Requests are safe to
 * resend, so an unanswered one is retried, if necessary at another host; the caller receives exactly one response.
 */
internal class Router(
    private val host: HostContext,
    private val registry: Registry,
    private val zone: ZoneId,
    private val deliver: (RequestOrigin, GroupId, ApiRequest) -> Unit,
) {
    private val outstanding = LinkedHashMap<RequestId, PendingRequest>()
    private val leaders = HashMap<GroupId, KnownLeader>()

    val isIdle: Boolean get() = outstanding.isEmpty()

    fun route(
        id: RequestId,
        request: ApiRequest,
    ) {
        val job = jobOf(request)
        val zones =
            registry.state.zones.keys
                .ifEmpty { host.config.topology.zones }
        val group =
            when (request) {
                is ApiRequest.Submit, is ApiRequest.LookUp -> GroupId.cell(job?.let { HomeZone.of(it, zones) } ?: zone)
                is ApiRequest.Cancel -> GroupId.cell(request.zone)
                is ApiRequest.ReadZone -> GroupId.cell(request.zone)
                else -> GroupId.REGISTRY
            }
        val timeout = waitMillisOf(request) + host.config.requestTimeoutMillis
        val entry = PendingRequest(id, request, job, group, host.now + timeout)
        outstanding[id] = entry
        attempt(entry)
    }

    /**
     * The job that a request refers to; null if the queue is not known here. This host's registry may lag behind that of
     * the responsible leader, so keys are not checked here, and an unknown queue is routed to the cell of the own zone.
     */
    private fun jobOf(request: ApiRequest): JobId? =
        when (request) {
            is ApiRequest.Submit -> KeyCheck.queue(registry, request.queue)?.let { JobId(it.team, request.localId) }
            is ApiRequest.LookUp -> request.job
            else -> null
        }

    private fun waitMillisOf(request: ApiRequest): Long =
        when (request) {
            is ApiRequest.Submit -> request.waitMillis
            is ApiRequest.LookUp -> request.waitMillis
            is ApiRequest.Change -> request.waitMillis
            else -> 0
        }

    private fun attempt(entry: PendingRequest) {
        entry.tries++
        entry.nextTry = host.now + host.config.forwardRetryMillis
        val target = target(entry) ?: return
        entry.sent = true
        if (target == host.config.self) {
            deliver(RequestOrigin(target, entry.id), entry.group, entry.request)
        } else {
            host.send(target, PeerFrame.Forward(host.config.self, entry.id, entry.group, entry.request))
        }
    }

    private fun target(entry: PendingRequest): HostId? {
        val own = host.groupOrNull(entry.group)
        if (own != null && own.isLeader) return host.config.self
        val known = own?.leader ?: leaders[entry.group]?.leader
        if (known != null && known != host.config.self && entry.tries % TRIES_PER_CANDIDATE_PROBE != 0) return known
        val candidates = candidates(entry.group).filter { it != host.config.self }
        if (candidates.isEmpty()) return null
        return candidates[entry.tries % candidates.size]
    }

    private fun candidates(group: GroupId): List<HostId> {
        val topology = host.config.topology
        if (group == GroupId.REGISTRY) {
            return topology
                .registryMembers()
                .voters
                .map { it.host }
                .sorted()
        }
        return topology.hosts.filter { GroupId.cell(it.zone) == group }.map { it.id }
    }

    /** Handles a response from a leader or from a host that forwarded the request. */
    fun answered(
        id: RequestId,
        response: ApiResponse,
    ) {
        val entry = outstanding[id] ?: return
        when (response) {
            is ApiResponse.Retry -> {
                response.leader?.let { leaders[entry.group] = KnownLeader(leaders[entry.group]?.term ?: 0, it) }
                entry.nextTry = minOf(entry.nextTry, host.now + RETRY_RESPONSE_DELAY_MILLIS)
            }
            is ApiResponse.Elsewhere -> {
                entry.group = GroupId.cell(response.zone)
                entry.redirects++
                entry.nextTry = if (entry.redirects < MAX_REDIRECTS) host.now else host.now + host.config.forwardRetryMillis
            }
            else -> {
                outstanding.remove(id)
                host.emit(HostEffect.Respond(id, response))
            }
        }
    }

    fun leading(
        from: HostId,
        frame: PeerFrame.Leading,
    ) {
        val known = leaders[frame.group]
        if (known == null || frame.term >= known.term) leaders[frame.group] = KnownLeader(frame.term, from)
    }

    fun leaderOf(group: GroupId): HostId? = host.groupOrNull(group)?.leader ?: leaders[group]?.leader

    /** Handles a forwarded request, forwarding it again if this host does not lead the group. */
    fun forwarded(frame: PeerFrame.Forward) {
        val own = host.groupOrNull(frame.group)
        val origin = RequestOrigin(frame.origin, frame.id)
        if (own != null && own.isLeader) {
            deliver(origin, frame.group, frame.request)
            return
        }
        val leader = leaderOf(frame.group)?.takeIf { it != host.config.self && it != frame.origin }
        if (leader != null && frame.hops < MAX_HOPS) {
            host.send(leader, frame.copy(hops = frame.hops + 1))
        } else {
            host.respond(origin, ApiResponse.Retry(leader))
        }
    }

    fun tick() {
        outstanding.values.filter { it.deadline <= host.now }.forEach { expire(it) }
        outstanding.values
            .filter { it.nextTry <= host.now }
            .toList()
            .forEach { attempt(it) }
    }

    private fun expire(entry: PendingRequest) {
        outstanding.remove(entry.id)
        val groupName = entry.group.name
        val response =
            if (entry.sent) {
                ApiResponse.Unknown(entry.job, "$groupName did not answer in time; ask again under the same id")
            } else {
                ApiResponse.Refused(RefusalReason.ZONE_UNREACHABLE, "$groupName can't be reached; nothing was sent")
            }
        host.emit(HostEffect.Respond(entry.id, response))
    }

    private class PendingRequest(
        val id: RequestId,
        val request: ApiRequest,
        val job: JobId?,
        var group: GroupId,
        val deadline: Long,
    ) {
        var tries = 0
        var redirects = 0
        var nextTry = 0L

        /** Whether any host may have received the request. */
        var sent = false
    }

    private class KnownLeader(
        val term: Long,
        val leader: HostId,
    )

    private companion object {
        const val TRIES_PER_CANDIDATE_PROBE = 3
        const val RETRY_RESPONSE_DELAY_MILLIS = 50L
        const val MAX_REDIRECTS = 4
        const val MAX_HOPS = 2
    }
}
