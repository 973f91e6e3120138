//! Digests by which daemons recognize a request that is sent again.
//!
//! Two requests are the same if they have the same customer, method, host, path with query, and body; their ids
//! differ. The digest is the first half of a SHA-256 over these values, each preceded by its length. It has to be a
//! cryptographic hash: a caller that finds a request with the same digest as a request of another caller could have
//! that one refused ([`quarantine`](crate::gateway::rules::quarantine)).

use {
    crate::shared::ids::{CustomerId, ServiceId},
    http::request::Parts,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Size of a digest in bytes: large enough that collisions neither happen by chance nor can be found by search.
const DIGEST_SIZE: usize = 16;

/// Digest of a request, as 16 bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct RequestDigest([u8; DIGEST_SIZE]);

/// The values of a request that are included in its digest.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Customer whose key the request carries, if any.
    pub customer: Option<&'a CustomerId>,
    /// Head of the request as the caller sent it; only the method and the path with query are used.
    pub head: &'a Parts,
    /// Host of the request, as stated in the head.
    pub host: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
}

/// Reports a text that isn't a valid digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} isn't a digest of {len} hexadecimal digits", len = 2 * DIGEST_SIZE)]
pub struct DigestError(String);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn new(content: &RequestContent<'_>) -> Self {
        let path = content.head.uri.path_and_query();
        let customer = content.customer.map_or("", CustomerId::as_str);
        Self::of_parts([
            customer.as_bytes(),
            content.head.method.as_str().as_bytes(),
            content.host.as_bytes(),
            path.map_or("", |path| path.as_str()).as_bytes(),
            content.body,
        ])
    }

    /// Computes the digest of the id that a customer's caller gave a request.
    pub fn of_id(customer: Option<&CustomerId>, id: &str) -> Self {
        let customer = customer.map_or("", CustomerId::as_str);
        Self::of_parts([customer.as_bytes(), id.as_bytes()])
    }

    /// Computes the digest of a part of prompts for a service, by which requests with that part are recognized.
    pub fn of_part(service: &ServiceId, part: u64) -> Self {
        let service = service.as_str().as_bytes();
        Self::of_parts([b"part".as_slice(), service, &part.to_le_bytes()])
    }

    fn of_parts<const N: usize>(parts: [&[u8]; N]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut digest = [0; DIGEST_SIZE];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_SIZE]);
        Self(digest)
    }

    /// Returns the bytes, for hashes by which daemons are chosen.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<RequestDigest> for (u64, u64) {
    fn from(digest: RequestDigest) -> Self {
        let whole = u128::from_be_bytes(digest.0);
        ((whole >> u64::BITS) as u64, whole as u64)
    }
}

impl From<(u64, u64)> for RequestDigest {
    fn from((high, low): (u64, u64)) -> Self {
        let whole = u128::from(high) << u64::BITS | u128::from(low);
        Self(whole.to_be_bytes())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let error = || DigestError(text.to_owned());
        if text.len() != 2 * DIGEST_SIZE || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        let whole = u128::from_str_radix(text, 16).map_err(|_| error())?;
        Ok(Self(whole.to_be_bytes()))
    }
}
