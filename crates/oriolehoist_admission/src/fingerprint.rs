use {derive_more::Display, siphasher::sip::SipHasher13, std::hash::Hasher};

/// Hash of what identifies a request but its id: service, method, path, key and body, and what tells its
/// caller from others.
///
/// Its definition is fixed, as daemons of different builds tell each other fingerprints: SipHash-1-3 with
/// a key of zeros.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// Computes a [`Fingerprint`] from the parts of a request.
///
/// ```
/// use oriolehoist_admission::FingerprintBuilder;
///
/// let of = |key| FingerprintBuilder::default().text("tides").number(key).bytes(b"{}").finish();
/// assert_eq!(of(Some(7)), of(Some(7)));
/// assert_ne!(of(Some(7)), of(None));
/// ```
#[derive(Clone, Debug)]
pub struct FingerprintBuilder(SipHasher13);

impl Default for FingerprintBuilder {
    fn default() -> FingerprintBuilder {
        FingerprintBuilder(SipHasher13::new_with_keys(0, 0))
    }
}

impl FingerprintBuilder {
    /// Adds a text.
    #[must_use]
    pub fn text(mut self, text: &str) -> FingerprintBuilder {
        self.0.write(text.as_bytes());
        // No text has this byte.
        self.0.write(&[0xff]);
        self
    }

    /// Adds a text that may be missing.
    #[must_use]
    pub fn optional_text(self, text: Option<&str>) -> FingerprintBuilder {
        let this = self.presence(text.is_some());
        match text {
            Some(text) => this.text(text),
            None => this,
        }
    }

    /// Adds a number that may be missing.
    #[must_use]
    pub fn number(self, number: Option<u16>) -> FingerprintBuilder {
        let mut this = self.presence(number.is_some());
        if let Some(number) = number {
            this.0.write(&number.to_le_bytes());
        }
        this
    }

    /// Adds any bytes.
    #[must_use]
    pub fn bytes(mut self, bytes: &[u8]) -> FingerprintBuilder {
        self.0.write(&(bytes.len() as u64).to_le_bytes());
        self.0.write(bytes);
        self
    }

    /// Returns the fingerprint.
    pub fn finish(self) -> Fingerprint {
        Fingerprint(self.0.finish())
    }

    fn presence(mut self, is_present: bool) -> FingerprintBuilder {
        self.0.write(&u64::from(is_present).to_le_bytes());
        self
    }
}

/// The fingerprints of a request as its caller sends it, and without its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// The request with the headers by which callers may differ. Without such headers it is the same as
    /// `any_caller`.
    pub of_caller: Fingerprint,
    /// The request without its headers, as earlier builds identify it.
    pub any_caller: Fingerprint,
}

/// Headers that differ between attempts of a caller, or say nothing of it.
const PER_ATTEMPT_HEADERS: [&str; 15] = [
    "baggage",
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "traceparent",
    "tracestate",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "via",
];

impl RequestFingerprints {
    /// Adds the headers, with names in lower case, to a request without its caller. Their order does not
    /// matter.
    pub fn new<'a>(
        request: FingerprintBuilder,
        headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> RequestFingerprints {
        let is_of_caller = |(name, _): &(&str, &[u8])| !PER_ATTEMPT_HEADERS.contains(name);
        let mut headers: Vec<_> = headers.into_iter().filter(is_of_caller).collect();
        headers.sort_unstable();
        let add = |builder: FingerprintBuilder, (name, value): (&str, &[u8])| {
            builder.text(name).bytes(value)
        };
        let any_caller = request.clone().finish();
        let of_caller = headers.into_iter().fold(request, add).finish();
        RequestFingerprints { of_caller, any_caller }
    }
}
