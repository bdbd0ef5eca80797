package rhubarbknot.flow.world

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.dispatch.EligibilityReply
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.node.ControlConfig
import rhubarbknot.flow.node.ControlNode
import rhubarbknot.flow.node.FlowAnswer
import rhubarbknot.flow.node.FlowNode
import rhubarbknot.flow.node.FlowRequest
import rhubarbknot.flow.node.GatewayNode
import rhubarbknot.flow.node.MembershipManager
import rhubarbknot.flow.node.NodeEffect
import rhubarbknot.flow.node.NodeEvent
import rhubarbknot.flow.node.NodeIdentity
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId
import java.util.PriorityQueue
import java.util.SplittableRandom

/** One machine with its process, which may be down, frozen or cut off. */
internal class SimulatedNode(
    val address: String,
    val isControl: Boolean,
) {
    var node: FlowNode? = null
    var identity = NodeIdentity(address, "z-$address")
    var disk = SimulatedDisk()

    /** Rises with each start, so that what was meant for an earlier process is not taken by a later one. */
    var incarnation = 0
    var frozenUntil = 0L
    var wanted = emptySet<String>()
    val links = LinkedHashSet<String>()
}

/**
 * Control nodes, gateways and workers under a clock and a network of its own. Everything that happens follows from
 * the seed, so a finding is played again with it.
 */
internal class SimulatedCluster(
    seed: Long,
    ceiling: Resources,
) {
    private class Action(
        val at: Long,
        val order: Long,
        val run: () -> Unit,
    )

    val random = SplittableRandom(seed)
    val oracle = Oracle(ceiling)
    val controls = (1..3).map { SimulatedNode("10.0.0.$it:1", isControl = true) }
    val gateways = (1..2).map { SimulatedNode("10.0.1.$it:1", isControl = false) }
    val hosts = controls + gateways
    var now = START_MILLIS
        private set
    private val gangs = GangTracker()
    val workers = (1..4).map { SimulatedWorker("w$it", oracle, gangs, random.split(), now) }
    private val queue = PriorityQueue(compareBy<Action>({ it.at }, { it.order }))
    private var order = 0L
    private val cut = HashSet<Pair<String, String>>()
    private val waiting = HashMap<Triple<String, Int, Long>, (FlowAnswer?) -> Unit>()
    private var numbers = 0L

    /** Share of calls to workers, in percent, that get no answer and are carried out late or not at all. */
    var lostCallsPercent = 0

    /** What the nodes decided, newest last, for whoever traces a finding. */
    val notes = ArrayDeque<String>()

    init {
        hosts.forEach { start(it, isFirst = true) }
        every(LINK_MILLIS) { link() }
        every(WORKER_TICK_MILLIS) { workers.forEach { it.tick(now) } }
        workers.forEach { worker ->
            every(
                REPORT_MILLIS,
            ) { if (!worker.isDown) ask(controls[random.nextInt(controls.size)], FlowRequest.Report(worker.report(now))) {} }
        }
    }

    fun after(
        millis: Long,
        run: () -> Unit,
    ) {
        queue.add(Action(now + millis, order++, run))
    }

    fun every(
        millis: Long,
        run: () -> Unit,
    ) {
        after(millis) {
            run()
            every(millis, run)
        }
    }

    /** Lets [millis] pass. */
    fun pass(millis: Long) {
        val until = now + millis
        while (queue.isNotEmpty() && queue.peek().at <= until) {
            val next = queue.remove()
            now = maxOf(now, next.at)
            next.run()
        }
        now = until
    }

    // Processes

    fun start(
        host: SimulatedNode,
        isFirst: Boolean = false,
    ) {
        if (host.node != null) return
        host.incarnation++
        host.wanted = emptySet()
        val founders = controls.map { MembershipManager.replicaIdFor(it.address, "0") }.toSet()
        if (host.isControl) {
            if (isFirst) host.identity = host.identity.copy(replica = MembershipManager.replicaIdFor(host.address, "0").name)
            val isFounder = ReplicaId(host.identity.replica) in founders
            val config =
                ControlConfig(
                    host.identity,
                    controls.map { it.address }.toSet(),
                    Members(if (isFounder) founders else emptySet()),
                    targetVoterCount = 3,
                    seed = random.nextLong(),
                    snapshotEvery = SNAPSHOT_EVERY,
                )
            host.node = ControlNode(config, host.disk.recover(), now)
        } else {
            host.node = GatewayNode(host.identity, controls.map { it.address }.toSet(), now)
        }
        tick(host, host.incarnation)
    }

    /** The process of [host] is killed; with [power], what it had not synced is lost, but for some batches. */
    fun kill(
        host: SimulatedNode,
        power: Boolean,
    ) {
        if (host.node == null) return
        host.node = null
        if (power) host.disk.powerLost(random.nextInt(3)) else host.disk.processEnded()
        host.links.toList().forEach { peer -> unlink(host, hostAt(peer)) }
        waiting.keys.filter { it.first == host.address }.forEach { key -> waiting.remove(key)?.invoke(null) }
    }

    /** The host comes back with an empty disk, as a new replica. */
    fun wipe(host: SimulatedNode) {
        kill(host, power = true)
        host.disk = SimulatedDisk()
        host.identity = host.identity.copy(replica = MembershipManager.replicaIdFor(host.address, now.toString()).name)
    }

    fun freeze(
        host: SimulatedNode,
        millis: Long,
    ) {
        host.frozenUntil = now + millis
    }

    private fun tick(
        host: SimulatedNode,
        incarnation: Int,
    ) {
        if (host.incarnation != incarnation || host.node == null) return
        feed(host, NodeEvent.Tick)
        after(TICK_MILLIS) { tick(host, incarnation) }
    }

    private fun feed(
        host: SimulatedNode,
        event: NodeEvent,
    ) {
        val node = host.node ?: return
        if (now < host.frozenUntil) {
            val incarnation = host.incarnation
            after(host.frozenUntil - now) { if (host.incarnation == incarnation) feed(host, event) }
            return
        }
        node.handle(listOf(event), now).forEach { carryOut(host, it) }
    }

    private fun carryOut(
        host: SimulatedNode,
        effect: NodeEffect,
    ) {
        when (effect) {
            is NodeEffect.Send -> send(host, effect)
            is NodeEffect.Connect -> host.wanted = effect.addresses
            is NodeEffect.Persist -> persist(host, effect)
            is NodeEffect.Reply -> waiting.remove(Triple(host.address, host.incarnation, effect.number))?.invoke(effect.answer)
            is NodeEffect.CallWorker -> callWorker(host, effect.call, effect.timeoutMillis)
            is NodeEffect.AskEligibility -> {
                // Every step has one worker that may not run it.
                val barred = workers[Math.floorMod(effect.step.hashCode(), workers.size)].id
                val reply = EligibilityReply(effect.number, effect.workers.filter { it != barred }.associateWith { "ticket" })
                later(host, random.nextLong(5, 30)) { feed(host, NodeEvent.EligibilityReplied(effect.askedBy, reply)) }
            }
            is NodeEffect.LogEvent -> {
                notes.addLast("$now ${host.address} ${effect.entry.event} ${effect.entry.subject} ${effect.entry.detail}")
                if (notes.size > MOST_NOTES) notes.removeFirst()
            }
            NodeEffect.ShutdownComplete -> Unit
        }
    }

    private fun later(
        host: SimulatedNode,
        millis: Long,
        run: () -> Unit,
    ) {
        val incarnation = host.incarnation
        after(millis) { if (host.incarnation == incarnation && host.node != null) run() }
    }

    private fun persist(
        host: SimulatedNode,
        effect: NodeEffect.Persist,
    ) {
        val disk = host.disk
        disk.write(effect.batch)
        later(host, random.nextLong(2, 9)) {
            disk.sync(effect.batch.sequence)
            feed(host, NodeEvent.Persisted(effect.batch.sequence))
        }
    }

    // The network

    fun hostAt(address: String): SimulatedNode = hosts.first { it.address == address }

    /** Cuts [a] off from [b]; only from [a] to [b] when [oneWay]. */
    fun cut(
        a: SimulatedNode,
        b: SimulatedNode,
        oneWay: Boolean = false,
    ) {
        cut += a.address to b.address
        if (!oneWay) cut += b.address to a.address
        after(SILENCE_MILLIS) { if (isCut(a, b) || isCut(b, a)) unlink(a, b) }
    }

    fun healCuts() = cut.clear()

    private fun isCut(
        from: SimulatedNode,
        to: SimulatedNode,
    ) = (from.address to to.address) in cut

    private fun link() {
        hosts.forEach { host ->
            if (host.node == null || now < host.frozenUntil) return@forEach
            host.wanted.filter { it !in host.links && it != host.address }.forEach { address ->
                val peer = hosts.firstOrNull { it.address == address } ?: return@forEach
                if (peer.node == null || now < peer.frozenUntil || isCut(host, peer) || isCut(peer, host)) return@forEach
                host.links += peer.address
                peer.links += host.address
                feed(host, NodeEvent.LinkUp(peer.identity))
                feed(peer, NodeEvent.LinkUp(host.identity))
            }
        }
    }

    private fun unlink(
        a: SimulatedNode,
        b: SimulatedNode,
    ) {
        if (a.links.remove(b.address)) feed(a, NodeEvent.LinkDown(b.address))
        if (b.links.remove(a.address)) feed(b, NodeEvent.LinkDown(a.address))
    }

    private fun send(
        from: SimulatedNode,
        effect: NodeEffect.Send,
    ) {
        if (effect.to !in from.links) return
        val to = hostAt(effect.to)
        val sender = from.identity
        val incarnation = to.incarnation
        after(random.nextLong(1, 4)) {
            if (to.incarnation == incarnation &&
                !isCut(from, to) &&
                from.address in to.links
            ) {
                feed(to, NodeEvent.FrameReceived(sender, effect.frame))
            }
        }
    }

    // Those outside

    /** Asks the process of [host]; [done] gets null when no answer comes. */
    fun ask(
        host: SimulatedNode,
        request: FlowRequest,
        done: (FlowAnswer?) -> Unit,
    ) {
        if (host.node == null || now < host.frozenUntil) {
            after(1) { done(null) }
            return
        }
        val number = ++numbers
        waiting[Triple(host.address, host.incarnation, number)] = done
        feed(host, NodeEvent.RequestReceived(number, request))
    }

    private fun callWorker(
        host: SimulatedNode,
        call: WorkerCall,
        timeoutMillis: Long,
    ) {
        val sentAt = now
        val worker = workers.first { it.id == call.worker.id }
        var answered = false
        val reply = { answer: WorkerReply ->
            if (!answered) {
                answered = true
                later(host, 1) { feed(host, NodeEvent.WorkerReplied(call, answer, sentAt)) }
            }
        }
        later(host, timeoutMillis) { reply(WorkerReply.NoResponse) }
        if (random.nextInt(100) < lostCallsPercent) {
            // Nothing comes back, and the worker may do it all the same, long after newer calls.
            val bornAt = worker.bornAt
            if (random.nextBoolean()) {
                after(random.nextLong(2_000, 9_000)) {
                    if (call !is WorkerCall.Renew &&
                        worker.bornAt == bornAt
                    ) {
                        worker.handle(call, now)
                    }
                }
            }
            return
        }
        if (worker.isDown) {
            reply(WorkerReply.NotSent)
            return
        }
        after(1) { serve(worker, worker.bornAt, call, now + ((call as? WorkerCall.Renew)?.waitMillis ?: 0), reply) }
    }

    /** The process of [worker] ends, and starts anew under its old id after [millis]. */
    fun restart(
        worker: SimulatedWorker,
        millis: Long,
    ) {
        if (worker.isDown) return
        worker.bornAgain(now)
        worker.isDown = true
        after(millis) {
            worker.bornAgain(now)
            worker.isDown = false
        }
    }

    private fun serve(
        worker: SimulatedWorker,
        bornAt: Long,
        call: WorkerCall,
        until: Long,
        reply: (WorkerReply) -> Unit,
    ) {
        // Its connections end with a life.
        if (worker.bornAt != bornAt || worker.isDown) {
            reply(WorkerReply.NoResponse)
            return
        }
        val first = worker.handle(call, now)
        if (call !is WorkerCall.Renew || first !is WorkerReply.Runs || now >= until || worker.hasEndsAfter(call.lastSeen)) {
            reply(first)
        } else {
            after(WORKER_TICK_MILLIS) { serve(worker, bornAt, call, until, reply) }
        }
    }

    private companion object {
        const val START_MILLIS = 1_000_000L
        const val TICK_MILLIS = 50L
        const val LINK_MILLIS = 100L
        const val WORKER_TICK_MILLIS = 10L
        const val REPORT_MILLIS = 700L
        const val SILENCE_MILLIS = 1_500L
        const val SNAPSHOT_EVERY = 200L
        const val MOST_NOTES = 60_000
    }
}
