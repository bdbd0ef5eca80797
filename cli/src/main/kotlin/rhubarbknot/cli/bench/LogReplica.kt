package rhubarbknot.cli.bench

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import rhubarbknot.core.model.ZoneId
import rhubarbknot.daemon.MonotonicClock
import rhubarbknot.host.GroupId
import rhubarbknot.host.HostId
import rhubarbknot.host.HostInfo
import rhubarbknot.host.PeerFrame
import rhubarbknot.host.Topology
import rhubarbknot.host.host
import rhubarbknot.quorum.EntryKind
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.Replica
import rhubarbknot.quorum.ReplicaConfig
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.ReplicaEvent
import rhubarbknot.quorum.disk.FileStorage
import rhubarbknot.wire.LinkSecret
import rhubarbknot.wire.PeerListener
import rhubarbknot.wire.PeerTransport
import java.net.ServerSocket
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** One replica of a log without a scheduler: a control thread, a disk thread that syncs files, and real sockets. */
class LogReplica(
    private val info: HostInfo,
    topology: Topology,
    folder: Path,
    private val batching: Boolean,
    private val onCommit: (LogReplica, Long) -> Unit,
) : AutoCloseable {
    private val clock = MonotonicClock()
    private val storage = FileStorage(folder)
    private val inbox = LinkedBlockingQueue<ReplicaEvent>()
    private val writes = LinkedBlockingQueue<ReplicaEffect.Persist>()
    private val transport = PeerTransport(info, topology, "bench", LinkSecret("bench-secret"), Listener(), Dispatchers.IO)
    private val members = Members(topology.hosts.map { it.id.replica }.toSet())

    @Volatile
    private var open = true

    @Volatile
    var isLeader = false
        private set

    private val control = Thread({ controlLoop() }, "${info.id}-control")
    private val disk = Thread({ diskLoop() }, "${info.id}-disk")

    fun start() {
        control.start()
        disk.start()
        runBlocking { transport.start() }
    }

    /** Proposes one entry that carries [number]. */
    fun propose(number: Long) {
        val payload = ByteBuffer.allocate(PAYLOAD_BYTES).putLong(number).array()
        inbox.add(ReplicaEvent.Propose(listOf(payload)))
    }

    private fun controlLoop() {
        val config =
            ReplicaConfig(
                info.id.replica,
                seed =
                    info.id.name
                        .hashCode()
                        .toLong(),
            )
        val replica = Replica(config, members, storage.recover(), clock.millis())
        var nextTick = clock.millis()
        while (open) {
            val event = inbox.poll(TICK_MILLIS, TimeUnit.MILLISECONDS)
            if (event != null) step(replica, event)
            if (clock.millis() >= nextTick) {
                nextTick = clock.millis() + TICK_MILLIS
                execute(replica.handle(ReplicaEvent.Tick, clock.millis()))
            }
            isLeader = replica.isLeader
        }
    }

    private fun step(
        replica: Replica,
        first: ReplicaEvent,
    ) {
        if (first !is ReplicaEvent.Propose || !batching) {
            execute(replica.handle(first, clock.millis()))
            return
        }
        val payloads = ArrayList(first.payloads)
        while (payloads.size < MAX_BATCH &&
            inbox.peek() is ReplicaEvent.Propose
        ) {
            payloads += (inbox.poll() as ReplicaEvent.Propose).payloads
        }
        execute(replica.handle(ReplicaEvent.Propose(payloads), clock.millis()))
    }

    private fun execute(effects: List<ReplicaEffect>) =
        effects.forEach { effect ->
            when (effect) {
                is ReplicaEffect.Send -> transport.send(effect.to.host, PeerFrame.Replica(GROUP, effect.message))
                is ReplicaEffect.Persist -> writes.add(effect)
                is ReplicaEffect.Apply ->
                    effect.entries.filter { it.kind == EntryKind.COMMAND }.forEach { onCommit(this, ByteBuffer.wrap(it.payload).getLong()) }
                else -> Unit
            }
        }

    private fun diskLoop() {
        val batch = ArrayList<ReplicaEffect.Persist>()
        while (open) {
            batch.add(writes.poll(TICK_MILLIS, TimeUnit.MILLISECONDS) ?: continue)
            if (batching) writes.drainTo(batch, MAX_BATCH)
            storage.write(batch)
            inbox.add(ReplicaEvent.Persisted(batch.last().sequence))
            batch.clear()
        }
    }

    private inner class Listener : PeerListener {
        override fun received(
            from: HostId,
            frame: PeerFrame,
        ) {
            if (frame is PeerFrame.Replica) inbox.add(ReplicaEvent.Received(from.replica, frame.message))
        }
    }

    override fun close() {
        open = false
        transport.close()
        control.join()
        disk.join()
        storage.close()
    }

    companion object {
        private val GROUP = GroupId("bench")
        private const val PAYLOAD_BYTES = 128
        private const val TICK_MILLIS = 10L
        private const val MAX_BATCH = 4_096

        /** Hosts of a group on loopback ports that are free now. */
        fun topology(replicas: Int): Topology =
            Topology((1..replicas).map { HostInfo(HostId("log$it"), ZoneId("bench"), "127.0.0.1:${freePort()}", "127.0.0.1:1") })

        private fun freePort(): Int = ServerSocket(0).use { it.localPort }
    }
}
