package rhubarbknot.flow.node

/**
 * Addresses at which control nodes are, or were when this process last heard of them.
 *
 * All connections may be lost at the same moment, after every control node of the start has been replaced. Addresses are therefore
 * remembered for longer than the connections over which they were learned. They are only places to dial: the identity of the process
 * that answers there is what its first frame says.
 *
 * @param seeds addresses from the settings, which may be outdated.
 */
internal class ControlDirectory(
    private var seeds: Set<String>,
) {
    /** Addresses that the last status of each connected control node names, by the address of its sender. */
    private val named = LinkedHashMap<String, Set<String>>()

    /** Addresses that were named at any time; the one that was named least recently comes first. */
    private val remembered = LinkedHashSet<String>()

    /** Records that the control node at [sender] knows of control nodes at [addresses]. */
    fun statusReceived(
        sender: String,
        addresses: Collection<String>,
    ) {
        named[sender] = addresses.toSet()
        remember(addresses)
    }

    /** Records that the last status of the control node at [sender] no longer holds. */
    fun statusExpired(sender: String) {
        named.remove(sender)
    }

    /** Remembers [addresses], and forgets the least recent ones beyond the limit. */
    fun remember(addresses: Collection<String>) {
        addresses.forEach {
            remembered.remove(it)
            remembered.add(it)
        }
        while (remembered.size > MAX_REMEMBERED) remembered.remove(remembered.first())
    }

    /** Replaces the seeds, remembers the earlier ones, and returns the log entry of process [self]; nothing if they are the same. */
    fun updateSeeds(
        seeds: Set<String>,
        self: String,
    ): List<NodeEffect> {
        if (seeds == this.seeds || seeds.isEmpty()) return emptyList()
        remember(this.seeds)
        this.seeds = seeds
        return listOf(NodeEffect.LogEvent(EventLogEntry(NodeLogEvent.SEEDS_CHANGED, self, "seeds=${seeds.joinToString(",")}")))
    }

    /** Addresses to dial. Without a leader, control nodes that have left the group count too: one of them may know the others. */
    fun targets(hasLeader: Boolean): Set<String> = seeds + named.values.flatten() + if (hasLeader) emptySet() else remembered

    /** Where each of [addresses] is known from, for the event log; [otherSource] tells it of those that are not in the directory. */
    fun describe(
        addresses: Collection<String>,
        otherSource: (String) -> String = { "other" },
    ): String =
        addresses.joinToString(",") { address ->
            val source =
                when (address) {
                    in seeds -> "seed"
                    in named.values.flatten() -> "named"
                    in remembered -> "remembered"
                    else -> otherSource(address)
                }
            "$address:$source"
        }

    private companion object {
        /** Several times the control nodes of a deployment, so that a series of replacements drops none that is still there. */
        const val MAX_REMEMBERED = 32
    }
}
