package rhubarbknot.flowd

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import rhubarbknot.flow.node.FlowNode
import rhubarbknot.flow.node.NodeEffect
import rhubarbknot.flow.node.NodeEvent
import rhubarbknot.flow.node.NodeHealth
import rhubarbknot.flow.node.NodeIdentity

/** A process with the daemons' shutdown hook whose node throws the error selected by the first argument. */
object FailingProcess {
    @JvmStatic
    fun main(args: Array<String>) {
        val driver = NodeDriver(NodeIdentity("127.0.0.1:0", "z1"), null, { null }, { null }, EventLog("n1"))
        Runtime.getRuntime().addShutdownHook(Thread { runBlocking { driver.shutDown() } })
        runBlocking {
            driver.start { FailingNode(args.single()) }
            awaitCancellation()
        }
    }

    private class FailingNode(
        private val errorKind: String,
    ) : FlowNode {
        override fun handle(
            events: List<NodeEvent>,
            now: Long,
        ): List<NodeEffect> = throw if (errorKind == "memory") OutOfMemoryError("no heap") else IllegalStateException("broken invariant")

        override fun health(now: Long) = NodeHealth(false, null, 0, 0, null)
    }
}
