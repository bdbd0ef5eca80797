package rhubarbknot.quorum

/**
 * Configuration of one replica.
 *
 * @property electionMinMillis minimum election timeout; also the duration of the leader lease.
 * @property driftPerMille maximum relative drift between any two clocks, in thousandths.
 * @property maxInflight maximum number of unacknowledged appends per follower.
 * @property maxInflightBytes payload bytes of unacknowledged appends per follower beyond which no further append is sent.
 * @property keepEntries number of log entries kept on compaction, so that slightly lagging followers need no snapshot.
 * @property keepBytes maximum payload bytes of the entries kept on compaction.
 * @property seed seed of the random election timeouts.
 */
data class ReplicaConfig(
    val self: ReplicaId,
    val heartbeatMillis: Long = 200,
    val electionMinMillis: Long = 900,
    val electionMaxMillis: Long = 1500,
    val driftPerMille: Long = 10,
    val maxAppendBytes: Int = 512 * 1024,
    val maxInflight: Int = 64,
    val maxInflightBytes: Long = 4L * 1024 * 1024,
    val snapshotChunkBytes: Int = 256 * 1024,
    val keepEntries: Int = 2_000,
    val keepBytes: Long = 4L * 1024 * 1024,
    val seed: Long = 1,
)
