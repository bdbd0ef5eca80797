package rhubarbknot.host

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.model.ExecutorId

/**
 * Tracks the connections, heartbeats and leases of a zone's executors at the cell leader. This state is not replicated;
 * a new leader waits for one lease duration before it declares any executor lost.
 */
internal class ExecutorSessionManager(
    private val host: HostContext,
    private val groupId: GroupId,
    private val cell: Cell,
    private val propose: (CellCommand) -> Unit,
    private val mayStart: () -> Boolean,
) {
    private val sessions = LinkedHashMap<ExecutorId, ExecutorSession>()
    private val byConnection = HashMap<ConnectionId, ExecutorId>()
    private var leaderSince = 0L
    private val group get() = host.group(groupId)

    fun begin() {
        sessions.clear()
        leaderSince = host.now
    }

    /** Redirects all connected executors to the new leader. */
    fun end() {
        byConnection.keys.toList().forEach { redirect(it) }
        byConnection.clear()
        sessions.clear()
    }

    fun frameReceived(
        connection: ConnectionId,
        frame: FromExecutor,
    ) {
        if (!group.isLeader) {
            redirect(connection)
            return
        }
        if (frame is FromExecutor.Hello) {
            hello(connection, frame)
            return
        }
        val id = byConnection[connection] ?: return host.emit(HostEffect.CloseExecutor(connection))
        when (frame) {
            is FromExecutor.Heartbeat -> heartbeat(id, frame)
            is FromExecutor.Ended -> propose(CellCommand.Ended(id, frame.report))
            is FromExecutor.Leaving -> propose(CellCommand.Leave(id))
            is FromExecutor.Hello -> Unit
        }
    }

    private fun redirect(connection: ConnectionId) {
        val zone =
            host.config.topology
                .host(host.config.self)
                ?.zone
        val leader = group.leader?.takeIf { it != host.config.self }?.let { host.config.topology.host(it) }
        val hosts =
            if (leader != null) {
                listOf(leader)
            } else {
                host.config.topology.hosts
                    .filter { it.zone == zone }
            }
        host.emit(HostEffect.SendExecutor(connection, ToExecutor.Redirect(hosts.map { it.apiAddress })))
        host.emit(HostEffect.CloseExecutor(connection))
    }

    private fun hello(
        connection: ConnectionId,
        frame: FromExecutor.Hello,
    ) {
        val id = frame.info.id
        val old = sessions[id]
        if (old != null && old.session > frame.info.session && old.incarnation == frame.info.incarnation) return
        old?.connection?.takeIf { it != connection }?.let { close(it) }
        byConnection[connection] = id
        val expires = old?.expiresAt ?: leaseExpiry(leaderSince)
        sessions[id] = ExecutorSession(frame.info.incarnation, frame.info.session, connection, frame.clockMillis, expires)
        propose(CellCommand.Join(frame.info, frame.known))
    }

    private fun close(connection: ConnectionId) {
        byConnection.remove(connection)
        host.emit(HostEffect.CloseExecutor(connection))
    }

    private fun heartbeat(
        id: ExecutorId,
        frame: FromExecutor.Heartbeat,
    ) {
        val executor = sessions.getValue(id)
        executor.clock = maxOf(executor.clock, frame.clockMillis)
        frame.usage.forEach { propose(CellCommand.Usage(it.attempt, it.used)) }
        grantLease(id, executor)
    }

    /** Renews an executor's lease if its session is committed and this leader holds the leader lease. */
    private fun grantLease(
        id: ExecutorId,
        executor: ExecutorSession,
    ) {
        val known = cell.state.executors[id]
        if (executor.lossReported || known?.info?.session != executor.session || !group.holdsLease(host.now)) return
        val connection = executor.connection ?: return
        executor.expiresAt = leaseExpiry(host.now)
        val lease = ToExecutor.Lease(executor.clock, host.config.executorLeaseMillis, group.term)
        host.emit(HostEffect.SendExecutor(connection, lease))
    }

    private fun leaseExpiry(since: Long): Long = since + host.config.withDrift(host.config.executorLeaseMillis)

    fun disconnected(connection: ConnectionId) {
        val id = byConnection.remove(connection) ?: return
        val executor = sessions[id] ?: return
        if (executor.connection == connection) executor.connection = null
    }

    /** Reports executors whose lease has expired. */
    fun tick() {
        cell.state.executors.values.forEach { executor ->
            val id = executor.info.id
            val current = sessions[id]
            val expires = current?.expiresAt ?: leaseExpiry(leaderSince)
            if (host.now > expires) reportLost(id, executor.info.incarnation, current)
        }
    }

    private fun reportLost(
        id: ExecutorId,
        incarnation: String,
        current: ExecutorSession?,
    ) {
        if (current?.lossReported == true) return
        if (current != null) {
            current.lossReported = true
            // Forces a new hello, which is then ordered after the loss in the log.
            current.connection?.let { close(it) }
        }
        sessions[id] = current ?: ExecutorSession(incarnation, 0, null, 0, host.now).also { it.lossReported = true }
        propose(CellCommand.ExecutorLost(id, incarnation))
    }

    /** Sends [start] to its executor, or reports at once that the attempt was not started. */
    fun start(start: CellEffect.Start) {
        val executor = sessions[start.executor]
        val connection = executor?.connection
        val sameSession = executor?.incarnation == start.incarnation && executor.session == start.session
        if (connection == null || executor.lossReported || !sameSession || !mayStart()) {
            propose(CellCommand.Ended(start.executor, AttemptReport(start.attempt, AttemptState.NOT_STARTED)))
            return
        }
        val frame = ToExecutor.Start(start.attempt, start.spec, start.session, group.term, executor.clock)
        host.emit(HostEffect.SendExecutor(connection, frame))
    }

    fun stop(stop: CellEffect.Stop) = send(stop.executor, ToExecutor.Stop(stop.attempt, stop.mode))

    fun endRecorded(recorded: CellEffect.EndRecorded) = send(recorded.executor, ToExecutor.EndRecorded(recorded.attempt))

    private fun send(
        id: ExecutorId,
        frame: ToExecutor,
    ) {
        sessions[id]?.connection?.let { host.emit(HostEffect.SendExecutor(it, frame)) }
    }

    /** Grants the first lease once the executor's join is committed. */
    fun joined(id: ExecutorId) {
        sessions[id]?.let { grantLease(id, it) }
    }

    private class ExecutorSession(
        val incarnation: String,
        val session: Long,
        var connection: ConnectionId?,
        var clock: Long,
        var expiresAt: Long,
    ) {
        var lossReported = false
    }
}
