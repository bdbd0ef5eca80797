package rhubarbknot.quorum.disk

import java.nio.file.Path

/** A process that recovers the state in the folder named by its argument and prints what it found. */
object RecoveringProcess {
    @JvmStatic
    fun main(args: Array<String>) {
        val state = FileStorage(Path.of(args.single())).use { it.recover() }
        println("snapshot ${state.snapshot?.index}, ${state.entries.size} entries")
    }
}
