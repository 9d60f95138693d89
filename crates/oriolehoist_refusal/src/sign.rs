use {
    crate::Receipt,
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    derive_more::{Display, Error, From},
    hmac::{Hmac, Mac},
    sha2::Sha256,
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Names a signing key. The id travels with each receipt, so that keys can be rotated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From)]
pub struct KeyId(pub SmolStr);

/// A secret key.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

/// The least length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// The greatest length of an encoded receipt that is looked at, in bytes.
const MAX_RECEIPT_BYTES: usize = 4096;

impl SigningKey {
    /// Takes a key's bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiptError::ShortKey`] if there are fewer than 16.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Result<SigningKey, ReceiptError> {
        let bytes = bytes.into();
        match bytes.len() {
            n if n < MIN_KEY_BYTES => Err(ReceiptError::ShortKey),
            _ => Ok(SigningKey(bytes)),
        }
    }

    fn mac(&self, key_id: &str, body: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("this code takes keys of any length"));
        mac.update(key_id.as_bytes());
        mac.update(b".");
        mac.update(body.as_bytes());
        mac
    }
}

/// Why a receipt can't be made or trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ReceiptError {
    /// It is not a receipt at all.
    #[display("this is not a receipt")]
    Malformed,
    /// It was signed with a key that isn't known here.
    #[display("the receipt's signing key is not known")]
    UnknownKey,
    /// The signature does not fit.
    #[display("the receipt's signature is false")]
    FalseSignature,
    /// A key is too short to be safe.
    #[display("a signing key needs at least 16 bytes")]
    ShortKey,
    /// There is no key to sign with.
    #[display("no key of the configured id is there to sign with")]
    NoKey,
}

/// The keys that a process knows.
#[derive(Clone, Default)]
pub struct KeyRing {
    keys: BTreeMap<KeyId, SigningKey>,
}

impl KeyRing {
    /// Adds a key.
    pub fn insert(&mut self, id: KeyId, key: SigningKey) {
        self.keys.insert(id, key);
    }

    /// Returns `wanted` if its key is known, else any known id.
    pub fn usable(&self, wanted: Option<&KeyId>) -> Option<&KeyId> {
        wanted
            .and_then(|id| self.keys.get_key_value(id))
            .map(|(id, _)| id)
            .or_else(|| self.keys.keys().next())
    }

    /// Signs a receipt, as text that fits into a header.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiptError::NoKey`] if the key is not known.
    pub fn sign(&self, id: &KeyId, receipt: &Receipt) -> Result<String, ReceiptError> {
        let key = self.keys.get(id).ok_or(ReceiptError::NoKey)?;
        let packed = rmp_serde::to_vec_named(receipt).map_err(|_| ReceiptError::Malformed)?;
        let body = URL_SAFE_NO_PAD.encode(packed);
        let mac = key.mac(id.0.as_str(), &body).finalize().into_bytes();
        Ok(format!("{id}.{body}.{}", URL_SAFE_NO_PAD.encode(mac)))
    }

    /// Checks a receipt's signature and reads it.
    ///
    /// # Errors
    ///
    /// Returns why it can't be trusted.
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
        key.mac(id, body).verify_slice(&mac).map_err(|_| ReceiptError::FalseSignature)?;
        let packed = URL_SAFE_NO_PAD.decode(body).map_err(|_| ReceiptError::Malformed)?;
        rmp_serde::from_slice(&packed).map_err(|_| ReceiptError::Malformed)
    }
}
