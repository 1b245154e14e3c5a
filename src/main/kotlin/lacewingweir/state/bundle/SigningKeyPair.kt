package lacewingweir.state.bundle

/** An Ed25519 key pair as Base64: [privateKey] in PKCS#8 form and [publicKey] in X.509 form. */
public class SigningKeyPair(
    public val privateKey: String,
    public val publicKey: String,
)
