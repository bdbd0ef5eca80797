package rhubarbknot.cli.demo

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** Result of the demo. The last seven counts come from the simulated executors and the callers, not from the daemons. */
@Serializable
data class DemoResult(
    val accepted: Int,
    val completed: Int,
    val refused: Int,
    val unknown: Int,
    val lost: Int,
    val doubled: Int,
    val overcommitted: Int,
    val ceilingBreaches: Int,
    val startsInDrainedZone: Int,
    val servedForWithdrawnKey: Int,
    val crossedAnswers: Int,
    @Transient val page: String = "",
) {
    val isClean: Boolean
        get() = lost + doubled + overcommitted + ceilingBreaches + startsInDrainedZone + servedForWithdrawnKey + crossedAnswers == 0
}
