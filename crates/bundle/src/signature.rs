//! Operators' signatures on bundles: Ed25519 over the bundle digest.

use std::collections::{BTreeMap, BTreeSet};

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use hooklug_types::{Digest, OperatorName};
use rand::RngExt;

/// Domain separation: prevents a signature on a bundle from being valid for any other message.
const SIGNATURE_CONTEXT: &[u8] = b"hooklug bundle signature v1";

/// Error of signing a bundle or of verifying its signatures.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// The key is not a valid Ed25519 key.
    #[error("key is not an Ed25519 key in hexadecimal (64 digits)")]
    BadKey,
    /// The settings contain no key for the operator.
    #[error("operator {0} has no key in the settings")]
    UnknownOperator(OperatorName),
    /// The signature does not match the bundle and the operator's key.
    #[error("signature of operator {0} does not match the bundle")]
    Invalid(OperatorName),
    /// Fewer valid signatures than are required.
    #[error("bundle has {found} valid signatures by different keys, {required} are required")]
    TooFew {
        /// Number of valid signatures by different keys.
        found: usize,
        /// Number of required signatures.
        required: usize,
    },
}

/// An operator's key pair, in hexadecimal.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyPair {
    /// Secret key; stays with the operator.
    pub secret: String,
    /// Public key; is listed in the settings.
    pub public: String,
}

impl std::fmt::Debug for KeyPair {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyPair").field("public", &self.public).finish_non_exhaustive()
    }
}

/// Generates a random key pair.
#[must_use]
pub fn generate_key_pair() -> KeyPair {
    let key = SigningKey::from_bytes(&rand::rng().random());
    KeyPair { secret: hex::encode(key.to_bytes()), public: hex::encode(key.verifying_key()) }
}

fn key_bytes(text: &str) -> Result<[u8; 32], SignatureError> {
    let mut bytes = [0_u8; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| SignatureError::BadKey)?;
    Ok(bytes)
}

fn signed_message(digest: &Digest) -> Vec<u8> {
    [SIGNATURE_CONTEXT, &digest.0].concat()
}

/// Checks that a text is a valid public key.
///
/// # Errors
/// [`SignatureError::BadKey`].
pub fn check_public_key(text: &str) -> Result<(), SignatureError> {
    VerifyingKey::from_bytes(&key_bytes(text)?).map(|_| ()).map_err(|_| SignatureError::BadKey)
}

/// Signs a bundle's digest with a secret key in hexadecimal.
///
/// # Errors
/// [`SignatureError::BadKey`].
pub fn sign(digest: &Digest, secret: &str) -> Result<String, SignatureError> {
    let key = SigningKey::from_bytes(&key_bytes(secret)?);
    Ok(hex::encode(key.sign(&signed_message(digest)).to_bytes()))
}

/// Verifies the signatures on a bundle's digest and returns the operators who signed it. A single
/// invalid signature is an error; operators with the same key count once.
///
/// # Errors [`SignatureError`] names the operator of the invalid signature, or the number of valid
/// signatures.
pub fn verify(
    digest: &Digest,
    signatures: &BTreeMap<OperatorName, String>,
    keys: &BTreeMap<OperatorName, String>,
    required: u32,
) -> Result<Vec<OperatorName>, SignatureError> {
    let message = signed_message(digest);
    let mut distinct = BTreeSet::new();
    for (operator, signature) in signatures {
        let key =
            keys.get(operator).ok_or_else(|| SignatureError::UnknownOperator(operator.clone()))?;
        let bytes = key_bytes(key)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| SignatureError::BadKey)?;
        let invalid = || SignatureError::Invalid(operator.clone());
        let mut raw = [0_u8; 64];
        hex::decode_to_slice(signature, &mut raw).map_err(|_| invalid())?;
        key.verify_strict(&message, &Signature::from_bytes(&raw)).map_err(|_| invalid())?;
        distinct.insert(bytes);
    }
    let required = required as usize;
    if distinct.len() < required {
        return Err(SignatureError::TooFew { found: distinct.len(), required });
    }
    Ok(signatures.keys().cloned().collect())
}
