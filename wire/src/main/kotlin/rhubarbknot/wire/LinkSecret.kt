package rhubarbknot.wire

import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Proves knowledge of the shared cluster secret to a peer without sending the secret. */
class LinkSecret(
    private val secret: String,
) {
    /** Computes the proof for [role]. The role is part of the proof so that one side's proof can't be replayed as the other's. */
    fun prove(
        role: String,
        cluster: String,
        host: String,
        nonce: String,
    ): String {
        val mac = Mac.getInstance("HmacSHA256")
        mac.init(SecretKeySpec(secret.toByteArray(), "HmacSHA256"))
        return mac.doFinal("$role|$cluster|$host|$nonce".toByteArray()).joinToString("") { "%02x".format(it) }
    }

    fun matches(
        expected: String,
        actual: String,
    ): Boolean = MessageDigest.isEqual(expected.toByteArray(), actual.toByteArray())

    companion object {
        private val random = SecureRandom()

        fun nonce(): String = ByteArray(16).also { random.nextBytes(it) }.joinToString("") { "%02x".format(it) }
    }
}
