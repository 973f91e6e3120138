//! Client of the configuration service, which can only be read.
//!
//! Owns the bounds of one read and of one tree, and the rounds in which the values of a tree are
//! fetched. Relies on `settings` to check a tree and on `http_get` for HTTP.

use {
    crate::{
        pipeline::endpoints::http_get::{HttpGetError, get},
        settings::{
            raw_tree::{RawTree, ValueSource},
            tree::Tree,
        },
        shared::{
            findings::Findings,
            units::{ByteSize, Millis},
        },
    },
    bytes::Bytes,
    http::StatusCode,
    http_body_util::Empty,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    thiserror::Error,
    xxhash_rust::xxh3::Xxh3,
};

/// Largest value that the service holds.
const VALUE_SIZE: ByteSize = ByteSize(1 << 20);

/// Longest time for one read; the service answers in milliseconds.
const READ_TIMEOUT: Millis = Millis(2_000);

/// Longest name of a value, in bytes.
const MAX_VALUE_NAME: usize = 256;

/// Most values that one tree may span.
const MAX_VALUES: usize = 64;

/// A tree can't be read.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The service doesn't answer, or not within the bounds of a read.
    #[error("the configuration service can't be read: {0}")]
    Unreadable(#[source] HttpGetError),
    /// The service answers with another status than 200: mostly, it doesn't have the value.
    #[error("the configuration service can't be read: {uri}: status {status}")]
    Refused {
        /// URI of the value.
        uri: String,
        /// Status of the response.
        status: StatusCode,
    },
    /// The tree names too many values.
    #[error(
        "the configuration service can't be read: the tree spans more than {MAX_VALUES} values"
    )]
    TooManyValues,
    /// The tree is invalid; the last good one stays.
    #[error("the settings tree is invalid:\n{0}")]
    Invalid(Findings),
}

/// Byte after each name and value in the hash, so that their borders count: neither a name nor
/// JSON contains it.
const VALUE_END: u8 = 0;

/// A tree together with the fingerprint of the values it was read from.
#[derive(Debug)]
pub struct FetchedTree {
    /// The checked tree.
    pub tree: Tree,
    /// Its root value, as it was read.
    pub root: Bytes,
    /// Hash over all of its values.
    pub hash: u64,
}

/// Reads values of the configuration service.
#[derive(Debug, Clone)]
pub struct ConfigClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
}

/// Values fetched so far; names that are missing are noted for the next round of fetches.
#[derive(Debug, Default)]
struct FetchedValues {
    values: BTreeMap<String, Bytes>,
    missing: RefCell<BTreeSet<String>>,
}

/// Reports a value that the next round has to fetch.
#[derive(Debug, Error)]
#[error("not fetched yet")]
struct NotFetched;

impl ValueSource for FetchedValues {
    type Error = NotFetched;

    fn read(&self, name: &str) -> Result<Vec<u8>, NotFetched> {
        match self.values.get(name) {
            Some(value) => Ok(value.to_vec()),
            None => {
                self.missing.borrow_mut().insert(name.to_owned());
                Err(NotFetched)
            }
        }
    }
}

impl ConfigClient {
    /// Builds a client; it connects when it is first used.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { client, address }
    }

    /// Reads one value.
    ///
    /// # Errors
    ///
    /// Returns an error when the service can't be reached or doesn't have the value.
    pub async fn value(&self, name: &str) -> Result<Bytes, ConfigError> {
        let uri = format!("http://{}/v1/values/{name}", self.address);
        let reply = get(&self.client, &uri, VALUE_SIZE, READ_TIMEOUT)
            .await
            .map_err(ConfigError::Unreadable)?;
        if reply.status != StatusCode::OK {
            let status = reply.status;
            return Err(ConfigError::Refused { uri, status });
        }
        Ok(reply.body)
    }

    /// Reads a tree with all the values it spans, and checks it; nothing if its root value is
    /// still `last`.
    ///
    /// # Errors
    ///
    /// Returns an error when a value can't be read or the tree is invalid.
    pub async fn changed_tree(
        &self,
        root: &str,
        last: Option<&Bytes>,
    ) -> Result<Option<FetchedTree>, ConfigError> {
        let value = self.value(root).await?;
        if last == Some(&value) {
            return Ok(None);
        }
        self.read_tree(root, value).await.map(Some)
    }

    async fn read_tree(&self, root: &str, value: Bytes) -> Result<FetchedTree, ConfigError> {
        let mut fetched = FetchedValues::default();
        fetched.values.insert(root.to_owned(), value);
        loop {
            let raw = RawTree::read(&fetched, root);
            let wanted = fetched.missing.take();
            if wanted.is_empty() {
                return finish_tree(raw, root, &fetched);
            }
            if fetched.values.len() + wanted.len() > MAX_VALUES {
                return Err(ConfigError::TooManyValues);
            }
            for name in wanted {
                let value = self.value(&name).await?;
                fetched.values.insert(name, value);
            }
        }
    }
}

fn finish_tree(
    raw: Result<RawTree, Findings>,
    root: &str,
    fetched: &FetchedValues,
) -> Result<FetchedTree, ConfigError> {
    let tree = raw.and_then(Tree::try_from).map_err(ConfigError::Invalid)?;
    let mut hash = Xxh3::new();
    for (name, value) in &fetched.values {
        hash.update(name.as_bytes());
        hash.update(&[VALUE_END]);
        hash.update(value);
        hash.update(&[VALUE_END]);
    }
    Ok(FetchedTree {
        tree,
        root: fetched
            .values
            .get(root)
            .expect("the root value was fetched first")
            .clone(),
        hash: hash.digest(),
    })
}

/// Returns whether a name can be a value's: letters, digits and `._-/`, not absolute.
pub fn is_value_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    !name.is_empty()
        && name.len() <= MAX_VALUE_NAME
        && !name.starts_with('/')
        && !name.contains("..")
        && name.chars().all(allowed)
}
