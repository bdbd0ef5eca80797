package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Queue

/**
 * A queue with accepted jobs. Its jobs follow it through the configurations while each one has a successor of it: a queue with the same
 * name at the same place, or one to the same pool with another name or at another place. Once it is removed, its jobs run on with its
 * last settings; a later queue for another pool that takes its name or place is not its successor.
 *
 * @property queue its settings in force, or its last ones.
 * @property isRemoved whether the configuration in force has no successor of it.
 */
@Serializable
class AcceptedQueue(
    var queue: Queue,
    var isRemoved: Boolean = false,
) {
    /** Number of jobs that are not final or of which a run may exist. */
    @Transient
    internal var jobs = 0

    /** Number of pending jobs. */
    @Transient
    internal var pending = 0
}

/** The queues of all jobs that are not final or of which a run may exist, in the order in which they were needed. */
internal class AcceptedQueues {
    private val accepted = LinkedHashSet<AcceptedQueue>()
    private val byQueue = HashMap<Queue, AcceptedQueue>()

    /** The queues for a snapshot; their positions identify them there. */
    val all: List<AcceptedQueue> get() = accepted.toList()

    /** Returns the record of [queue], as which a job was accepted, under the [configuration] in force. */
    fun of(
        queue: Queue,
        configuration: Configuration?,
    ): AcceptedQueue {
        val successor = configuration?.successorOf(queue, isRemoved = false)
        if (successor != null) return byQueue.getOrPut(successor) { AcceptedQueue(successor).also { accepted += it } }
        return accepted.firstOrNull { it.isRemoved && it.queue == queue } ?: AcceptedQueue(queue, isRemoved = true).also { accepted += it }
    }

    /** Adds a job of [queue]. */
    fun addJob(queue: AcceptedQueue) {
        queue.jobs++
    }

    /** Removes a job of [queue], and the queue with its last one. */
    fun removeJob(queue: AcceptedQueue) {
        if (--queue.jobs > 0) return
        accepted -= queue
        if (byQueue.remove(queue.queue, queue)) {
            accepted.firstOrNull { !it.isRemoved && it.queue == queue.queue }?.let { byQueue[it.queue] = it }
        }
    }

    /** Lets each queue follow its successor in [configuration]. */
    fun configured(configuration: Configuration) {
        accepted.forEach {
            val successor = configuration.successorOf(it.queue, it.isRemoved)
            it.isRemoved = successor == null
            if (successor != null) it.queue = successor
        }
        index()
    }

    /** Number of pending jobs of [queue], under whatever name they were accepted at its place. */
    fun pending(queue: Queue): Int = accepted.sumOf { if (isAt(it.queue, queue)) it.pending else 0 }

    private fun isAt(
        accepted: Queue,
        queue: Queue,
    ): Boolean = accepted.place == queue.place && (accepted.pool.isNotEmpty() || accepted.name == queue.name)

    /** Whether jobs need the workers of [pool]. */
    fun needPool(pool: String): Boolean = accepted.any { it.queue.pool == pool }

    /** Replaces all records by those of a snapshot; jobs are added afterwards. */
    fun restore(queues: List<AcceptedQueue>) {
        accepted.clear()
        accepted.addAll(queues)
        index()
    }

    private fun index() {
        byQueue.clear()
        accepted.forEach { if (!it.isRemoved) byQueue.putIfAbsent(it.queue, it) }
    }
}
