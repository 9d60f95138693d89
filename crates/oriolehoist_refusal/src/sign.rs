use {
    crate::Receipt,
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    derive_more::{Display, Error, From},
    hmac::{Hmac, Mac},
    sha2::Sha256,
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Identifies a signing key. Each receipt contains the id, so that keys can be rotated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From)]
pub struct KeyId(pub SmolStr);

/// A secret key for HMAC-SHA-256.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum length of an encoded receipt, in bytes. Longer input is rejected without decoding.
const MAX_RECEIPT_BYTES: usize = 4096;

impl SigningKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiptError::KeyTooShort`] if there are fewer than 16.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Result<SigningKey, ReceiptError> {
        let bytes = bytes.into();
        match bytes.len() {
            n if n < MIN_KEY_BYTES => Err(ReceiptError::KeyTooShort),
            _ => Ok(SigningKey(bytes)),
        }
    }

    fn mac(&self, key_id: &str, body: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        mac.update(key_id.as_bytes());
        mac.update(b".");
        mac.update(body.as_bytes());
        mac
    }
}

/// Error when a receipt is signed or verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ReceiptError {
    /// The input is not an encoded receipt.
    #[display("the receipt is malformed")]
    Malformed,
    /// The receipt was signed with a key that is not in the key ring.
    #[display("the signing key of the receipt is unknown")]
    UnknownKey,
    /// The signature does not match the receipt.
    #[display("the signature of the receipt is invalid")]
    InvalidSignature,
    /// A signing key is too short to be secure.
    #[display("a signing key must have at least 16 bytes")]
    KeyTooShort,
    /// The key to sign with is not in the key ring.
    #[display("no signing key with the configured id is available")]
    MissingKey,
}

/// The signing keys available to a process.
#[derive(Clone, Default)]
pub struct KeyRing {
    keys: BTreeMap<KeyId, SigningKey>,
}

impl KeyRing {
    /// Adds a key.
    pub fn insert(&mut self, id: KeyId, key: SigningKey) {
        self.keys.insert(id, key);
    }

    /// Returns `preferred` if the ring contains its key, otherwise the lowest key id in the ring.
    pub fn select_key_id(&self, preferred: Option<&KeyId>) -> Option<&KeyId> {
        preferred
            .and_then(|id| self.keys.get_key_value(id))
            .map(|(id, _)| id)
            .or_else(|| self.keys.keys().next())
    }

    /// Signs a receipt. The result can be used as a header value.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiptError::MissingKey`] if the ring does not contain the key.
    pub fn sign(&self, id: &KeyId, receipt: &Receipt) -> Result<String, ReceiptError> {
        let key = self.keys.get(id).ok_or(ReceiptError::MissingKey)?;
        let encoded = rmp_serde::to_vec_named(receipt).map_err(|_| ReceiptError::Malformed)?;
        let body = URL_SAFE_NO_PAD.encode(encoded);
        let mac = key.mac(id.0.as_str(), &body).finalize().into_bytes();
        Ok(format!("{id}.{body}.{}", URL_SAFE_NO_PAD.encode(mac)))
    }

    /// Verifies the signature of a receipt and decodes it.
    ///
    /// # Errors
    ///
    /// Returns why the receipt can't be trusted.
    pub fn verify(&self, text: &str) -> Result<Receipt, ReceiptError> {
        if text.len() > MAX_RECEIPT_BYTES {
            return Err(ReceiptError::Malformed);
        }
        let mut parts = text.trim().rsplitn(3, '.');
        let (Some(mac), Some(body), Some(id)) = (parts.next(), parts.next(), parts.next()) else {
            return Err(ReceiptError::Malformed);
        };
        let key = self.keys.get(&KeyId(id.into())).ok_or(ReceiptError::UnknownKey)?;
        let mac = URL_SAFE_NO_PAD.decode(mac).map_err(|_| ReceiptError::Malformed)?;
        key.mac(id, body).verify_slice(&mac).map_err(|_| ReceiptError::InvalidSignature)?;
        let encoded = URL_SAFE_NO_PAD.decode(body).map_err(|_| ReceiptError::Malformed)?;
        rmp_serde::from_slice(&encoded).map_err(|_| ReceiptError::Malformed)
    }
}
