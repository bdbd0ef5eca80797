package rhubarbknot.host

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.model.ExecutorId

/**
 * The executors of a zone as its cell leader sees them: connections, heartbeats and leases. None of it is
 * replicated; a new leader waits one lease long before it takes any executor for lost.
 */
internal class ExecutorSessionManager(
    private val host: HostContext,
    private val groupId: GroupId,
    private val cell: Cell,
    private val propose: (CellCommand) -> Unit,
    private val mayStart: () -> Boolean,
) {
    private val live = LinkedHashMap<ExecutorId, ExecutorSession>()
    private val byConnection = HashMap<ConnectionId, ExecutorId>()
    private var leaderSince = 0L
    private val group get() = host.group(groupId)

    fun begin() {
        live.clear()
        leaderSince = host.now
    }

    /** Sends everyone to the new leader. */
    fun end() {
        byConnection.keys.toList().forEach { redirect(it) }
        byConnection.clear()
        live.clear()
    }

    fun said(
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
        val old = live[id]
        if (old != null && old.session > frame.info.session && old.incarnation == frame.info.incarnation) return
        old?.connection?.takeIf { it != connection }?.let { close(it) }
        byConnection[connection] = id
        val expires = old?.expiresAt ?: lostAfter(leaderSince)
        live[id] = ExecutorSession(frame.info.incarnation, frame.info.session, connection, frame.clockMillis, expires)
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
        val executor = live.getValue(id)
        executor.clock = maxOf(executor.clock, frame.clockMillis)
        frame.usage.forEach { propose(CellCommand.Usage(it.attempt, it.used)) }
        grant(id, executor)
    }

    /** Renews the lease of an executor whose announcement is committed, while no other host can lead. */
    private fun grant(
        id: ExecutorId,
        executor: ExecutorSession,
    ) {
        val known = cell.state.executors[id]
        if (executor.losing || known?.info?.session != executor.session || !group.holdsLease(host.now)) return
        val connection = executor.connection ?: return
        executor.expiresAt = lostAfter(host.now)
        val lease = ToExecutor.Lease(executor.clock, host.config.executorLeaseMillis, group.term)
        host.emit(HostEffect.SendExecutor(connection, lease))
    }

    private fun lostAfter(since: Long): Long = since + host.config.withDrift(host.config.executorLeaseMillis)

    fun closed(connection: ConnectionId) {
        val id = byConnection.remove(connection) ?: return
        val executor = live[id] ?: return
        if (executor.connection == connection) executor.connection = null
    }

    /** Reports executors whose lease has run out. */
    fun tick() {
        cell.state.executors.values.forEach { executor ->
            val id = executor.info.id
            val seen = live[id]
            val expires = seen?.expiresAt ?: lostAfter(leaderSince)
            if (host.now > expires) lose(id, executor.info.incarnation, seen)
        }
    }

    private fun lose(
        id: ExecutorId,
        incarnation: String,
        seen: ExecutorSession?,
    ) {
        if (seen?.losing == true) return
        if (seen != null) {
            seen.losing = true
            // It has to announce itself again, behind the loss in the log.
            seen.connection?.let { close(it) }
        }
        live[id] = seen ?: ExecutorSession(incarnation, 0, null, 0, host.now).also { it.losing = true }
        propose(CellCommand.ExecutorLost(id, incarnation))
    }

    /** Carries [start] out, or reports at once that nobody was told. */
    fun start(start: CellEffect.Start) {
        val executor = live[start.executor]
        val connection = executor?.connection
        val same = executor?.incarnation == start.incarnation && executor.session == start.session
        if (connection == null || executor.losing || !same || !mayStart()) {
            propose(CellCommand.Ended(start.executor, AttemptReport(start.attempt, AttemptState.NOT_STARTED)))
            return
        }
        val frame = ToExecutor.Start(start.attempt, start.spec, start.session, group.term, executor.clock)
        host.emit(HostEffect.SendExecutor(connection, frame))
    }

    fun stop(stop: CellEffect.Stop) = tell(stop.executor, ToExecutor.Stop(stop.attempt, stop.mode))

    fun endRecorded(recorded: CellEffect.EndRecorded) = tell(recorded.executor, ToExecutor.EndRecorded(recorded.attempt))

    private fun tell(
        id: ExecutorId,
        frame: ToExecutor,
    ) {
        live[id]?.connection?.let { host.emit(HostEffect.SendExecutor(it, frame)) }
    }

    /** Grants the first lease as soon as an announcement is committed. */
    fun joined(id: ExecutorId) {
        live[id]?.let { grant(id, it) }
    }

    private class ExecutorSession(
        val incarnation: String,
        val session: Long,
        var connection: ConnectionId?,
        var clock: Long,
        var expiresAt: Long,
    ) {
        var losing = false
    }
}
