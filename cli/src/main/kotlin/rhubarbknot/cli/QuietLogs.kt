package rhubarbknot.cli

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import org.slf4j.LoggerFactory

/** Limits logging to errors, so that daemons in this process do not clutter the command output. */
internal fun quietLogs() {
    val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)
    (root as? Logger)?.level = Level.ERROR
}
