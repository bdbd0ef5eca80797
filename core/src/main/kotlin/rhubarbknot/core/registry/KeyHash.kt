package rhubarbknot.core.registry

import rhubarbknot.core.model.Codec

/** Hash by which API keys are stored and logged. Keys are long and random, so one round of SHA-256 is enough. */
object KeyHash {
    fun of(secret: String): String = Codec.digest(secret.toByteArray())
}
