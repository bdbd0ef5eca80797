package rhubarbknot.flow.world

/** Draws faults for a [SimulatedCluster]: what may happen to machines, links, disks, workers and calls, often several at once. */
internal class FaultInjector(
    private val world: SimulatedCluster,
) {
    private val random = world.random
    private var lastWipeAt = 0L

    fun strike() {
        val control = world.controls[random.nextInt(world.controls.size)]
        val millis = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS)
        when (random.nextInt(KINDS)) {
            0 -> down(control, millis, power = false)
            1 -> down(control, millis, power = true)
            2 -> world.controls.forEach { down(it, millis, power = random.nextBoolean()) }
            3 -> world.freeze(control, millis)
            4 -> isolate(control, millis, oneWay = false)
            5 -> isolate(control, millis, oneWay = true)
            6 -> wipe(control, millis)
            7 -> down(world.gateways[random.nextInt(world.gateways.size)], millis, power = false)
            8 -> world.restart(world.workers[random.nextInt(world.workers.size)], millis)
            9 -> callsLost(millis)
            10 -> world.workers[random.nextInt(world.workers.size)].standsStillUntil = world.now + millis
            else -> grey(millis)
        }
    }

    private fun down(
        host: SimulatedNode,
        millis: Long,
        power: Boolean,
    ) {
        world.kill(host, power)
        world.after(millis) { world.start(host) }
    }

    private fun isolate(
        control: SimulatedNode,
        millis: Long,
        oneWay: Boolean,
    ) {
        world.hosts.filter { it !== control }.forEach { world.cut(control, it, oneWay) }
        world.after(millis) { world.healCuts() }
    }

    /** One disk may be lost at once, with all machines there and its successor caught up before the next. */
    private fun wipe(
        control: SimulatedNode,
        millis: Long,
    ) {
        if (world.now - lastWipeAt < WIPE_PAUSE_MILLIS || world.controls.any { it.node == null }) return
        lastWipeAt = world.now
        world.wipe(control)
        world.after(millis) { world.start(control) }
    }

    private fun callsLost(millis: Long) {
        world.lostCallsPercent = LOST_PERCENT
        world.after(millis) { world.lostCallsPercent = 0 }
    }

    private fun grey(millis: Long) {
        val worker = world.workers[random.nextInt(world.workers.size)]
        worker.isGrey = true
        world.after(millis) { worker.isGrey = false }
    }

    /** Everything is whole again from now on. */
    fun end() {
        world.healCuts()
        world.lostCallsPercent = 0
        world.workers.forEach { it.isGrey = false }
        world.hosts.forEach { world.start(it) }
    }

    private companion object {
        const val KINDS = 12
        const val SHORTEST_MILLIS = 200L
        const val LONGEST_MILLIS = 5_000L
        const val WIPE_PAUSE_MILLIS = 14_000L
        const val LOST_PERCENT = 20
    }
}
