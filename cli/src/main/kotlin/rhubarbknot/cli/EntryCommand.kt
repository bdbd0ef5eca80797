package rhubarbknot.cli

import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.coroutines.runBlocking
import rhubarbknot.daemon.EntryDaemon
import java.io.IOException
import java.util.concurrent.CountDownLatch

/** Runs one entry daemon until the process is told to stop. */
@OptIn(ExperimentalCli::class)
class EntryCommand : Command("entry", "Run an entry daemon") {
    private val id by option(ArgType.String, "id", description = "Name of this host")
    private val zone by option(ArgType.String, "zone", description = "Availability zone of this host")
    private val peerAddress by option(ArgType.String, "peer-address", description = "Where other entry hosts connect to, ADDRESS:PORT")
    private val apiAddress by option(ArgType.String, "api-address", description = "Where callers, operators and executors connect to")
    private val peers by option(ArgType.String, "peers", description = "Other hosts: NAME@ZONE=PEERADDRESS/APIADDRESS,...")
    private val data by option(ArgType.String, "data", description = "Folder of the state; none on a host without a disk")
    private val cluster by option(ArgType.String, "cluster", description = "Name that all hosts of a deployment share")
    private val secret by option(ArgType.String, "secret", description = "Secret that all hosts share; better given as RHUBARBKNOT_SECRET")
    private val operatorToken by option(ArgType.String, "operator-token", description = "Token of operators' requests")
    private val zoneLease by option(ArgType.String, "zone-lease-millis", description = "How long a zone that is cut off takes new work")
    private val shutdown by option(ArgType.String, "shutdown-millis", description = "Longest time that a shutdown may take")

    override fun run(): Int {
        val flags =
            mapOf(
                "id" to id,
                "zone" to zone,
                "peer-address" to peerAddress,
                "api-address" to apiAddress,
                "peers" to peers,
                "data" to data,
                "cluster" to cluster,
                "secret" to secret,
                "operator-token" to operatorToken,
                "zone-lease-millis" to zoneLease,
                "shutdown-millis" to shutdown,
            )
        val config =
            EntrySettings(flags, System.getenv()).read().getOrElse { findings ->
                findings.forEach { System.err.println(it) }
                return ExitCode.BAD_INPUT
            }
        return try {
            serve(EntryDaemon(config))
        } catch (e: IOException) {
            System.err.println("rhubarbknot entry: ${e.message}")
            ExitCode.BAD_INPUT
        }
    }

    private fun serve(daemon: EntryDaemon): Int {
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { daemon.shutDown() }
                stopped.countDown()
            },
        )
        runBlocking { daemon.start() }
        stopped.await()
        return ExitCode.OK
    }
}
