//! Operators' signatures on bundles: Ed25519 over the bundle's digest.

use std::collections::{BTreeMap, BTreeSet};

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use hooklug_types::{Digest, OperatorName};
use rand::RngExt;

/// Keeps a signature on a bundle from being good for anything else.
const SIGNATURE_CONTEXT: &[u8] = b"hooklug bundle signature v1";

/// A key or signature that cannot be used, or too few of them.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SignatureFault {
    /// The text is not a key.
    #[error("not an Ed25519 key in hexadecimal (64 digits)")]
    BadKey,
    /// An operator that the settings do not name.
    #[error("operator {0} has no key in the settings")]
    UnknownOperator(OperatorName),
    /// A signature that does not fit the bundle and the operator's key.
    #[error("signature of operator {0} does not fit the bundle")]
    Invalid(OperatorName),
    /// Fewer good signatures than are required.
    #[error("{found} valid signatures by different keys, {required} are required")]
    TooFew {
        /// Good signatures by different keys.
        found: usize,
        /// How many are required.
        required: usize,
    },
}

/// An operator's key pair, in hexadecimal.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyPair {
    /// The secret key; kept by the operator.
    pub secret: String,
    /// The public key; goes into the settings.
    pub public: String,
}

impl std::fmt::Debug for KeyPair {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyPair").field("public", &self.public).finish_non_exhaustive()
    }
}

/// Draws a new key pair.
#[must_use]
pub fn generate_key_pair() -> KeyPair {
    let key = SigningKey::from_bytes(&rand::rng().random());
    KeyPair { secret: hex::encode(key.to_bytes()), public: hex::encode(key.verifying_key()) }
}

fn key_bytes(text: &str) -> Result<[u8; 32], SignatureFault> {
    let mut bytes = [0_u8; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| SignatureFault::BadKey)?;
    Ok(bytes)
}

fn signed_message(digest: &Digest) -> Vec<u8> {
    [SIGNATURE_CONTEXT, &digest.0].concat()
}

/// Whether a text is a usable public key.
///
/// # Errors
/// [`SignatureFault::BadKey`].
pub fn check_public_key(text: &str) -> Result<(), SignatureFault> {
    VerifyingKey::from_bytes(&key_bytes(text)?).map(|_| ()).map_err(|_| SignatureFault::BadKey)
}

/// Signs a bundle's digest with a secret key in hexadecimal.
///
/// # Errors
/// [`SignatureFault::BadKey`].
pub fn sign(digest: &Digest, secret: &str) -> Result<String, SignatureFault> {
    let key = SigningKey::from_bytes(&key_bytes(secret)?);
    Ok(hex::encode(key.sign(&signed_message(digest)).to_bytes()))
}

/// Verifies the signatures on a bundle's digest and returns who signed it. One bad signature refuses all;
/// two operators with the same key count once.
///
/// # Errors
/// [`SignatureFault`] names the operator at fault, or how many signatures are missing.
pub fn verify(
    digest: &Digest,
    signatures: &BTreeMap<OperatorName, String>,
    keys: &BTreeMap<OperatorName, String>,
    required: u32,
) -> Result<Vec<OperatorName>, SignatureFault> {
    let message = signed_message(digest);
    let mut distinct = BTreeSet::new();
    for (operator, signature) in signatures {
        let key =
            keys.get(operator).ok_or_else(|| SignatureFault::UnknownOperator(operator.clone()))?;
        let bytes = key_bytes(key)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| SignatureFault::BadKey)?;
        let invalid = || SignatureFault::Invalid(operator.clone());
        let mut raw = [0_u8; 64];
        hex::decode_to_slice(signature, &mut raw).map_err(|_| invalid())?;
        key.verify_strict(&message, &Signature::from_bytes(&raw)).map_err(|_| invalid())?;
        distinct.insert(bytes);
    }
    let required = required as usize;
    if distinct.len() < required {
        return Err(SignatureFault::TooFew { found: distinct.len(), required });
    }
    Ok(signatures.keys().cloned().collect())
}
