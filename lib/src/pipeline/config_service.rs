//! Read-only client for the configuration service.
//!
//! A settings tree spans several values of the service, because a value can include others. The client fetches the root
//! value, and then in rounds all included values that it doesn't have yet. Each read is bounded in size and time, and
//! each tree in its number of values. `settings` checks the tree.

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

/// Size of the largest value that the service stores.
const MAX_VALUE_SIZE: ByteSize = ByteSize(1 << 20);

/// Longest wait for the head of a response, and for each next part of its body. The service answers in milliseconds.
const READ_TIMEOUT: Millis = Millis(2_000);

/// Length of the longest name of a value, in bytes.
const MAX_VALUE_NAME_LENGTH: usize = 256;

/// Largest number of values of one tree.
const MAX_TREE_VALUES: usize = 64;

/// Why a settings tree can't be read.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No complete response arrived, or not within the bounds of a read.
    #[error("can't read from the configuration service: {0}")]
    Unreadable(#[source] HttpGetError),
    /// The service answered with another status than 200, usually because it doesn't have the value.
    #[error("can't read from the configuration service: {uri}: status {status}")]
    Refused {
        /// URI of the value.
        uri: String,
        /// Status of the response.
        status: StatusCode,
    },
    /// The tree includes a value under a name that the service doesn't allow, so that it isn't requested.
    #[error("can't read the settings tree: {name:?} isn't a name of a value")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// The tree includes too many values.
    #[error("can't read the settings tree: it has more than {MAX_TREE_VALUES} values")]
    TooManyValues,
    /// The tree is invalid. The daemon keeps the last valid one.
    #[error("the settings tree is invalid:\n{0}")]
    Invalid(Findings),
}

/// Byte that separates names and values in the hash, so that moving bytes from one to the next changes the hash.
/// Neither names nor JSON contain this byte.
const HASH_SEPARATOR: u8 = 0;

/// A settings tree, with a hash of the values that it was read from.
#[derive(Debug)]
pub struct FetchedTree {
    /// The checked tree.
    pub tree: Tree,
    /// Root value, as it was read.
    pub root: Bytes,
    /// Hash of the names and contents of all its values.
    pub fingerprint: u64,
}

/// Reads values from the configuration service.
#[derive(Debug, Clone)]
pub struct ConfigClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
}

/// Values fetched so far, and the names of those to fetch in the next round.
#[derive(Debug, Default)]
struct FetchedValues {
    values: BTreeMap<String, Bytes>,
    missing: RefCell<BTreeSet<String>>,
}

/// The value has to be fetched in the next round.
#[derive(Debug, Error)]
#[error("the value isn't fetched yet")]
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
    /// Builds a client of the service at `address`, without a connection yet.
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
    /// Returns an error if the name isn't allowed, if the service doesn't answer in time, or if it doesn't have the
    /// value.
    pub async fn fetch_value(&self, name: &str) -> Result<Bytes, ConfigError> {
        if !is_value_name(name) {
            let name = name.to_owned();
            return Err(ConfigError::InvalidName { name });
        }
        let uri = format!("http://{}/v1/values/{name}", self.address);
        let reply = get(&self.client, &uri, MAX_VALUE_SIZE, READ_TIMEOUT)
            .await
            .map_err(ConfigError::Unreadable)?;
        if reply.status != StatusCode::OK {
            let status = reply.status;
            return Err(ConfigError::Refused { uri, status });
        }
        Ok(reply.body)
    }

    /// Reads and checks the tree with the root value named `root`. Returns `None` if the root value still equals
    /// `last`; then nothing else is read.
    ///
    /// # Errors
    ///
    /// Returns an error if a value can't be read or the tree is invalid.
    pub async fn fetch_changed_tree(
        &self,
        root: &str,
        last: Option<&Bytes>,
    ) -> Result<Option<FetchedTree>, ConfigError> {
        let value = self.fetch_value(root).await?;
        if last == Some(&value) {
            return Ok(None);
        }
        self.fetch_tree(root, value).await.map(Some)
    }

    async fn fetch_tree(&self, root: &str, value: Bytes) -> Result<FetchedTree, ConfigError> {
        let mut fetched = FetchedValues::default();
        fetched.values.insert(root.to_owned(), value);
        loop {
            let raw = RawTree::read(&fetched, root);
            let wanted = fetched.missing.take();
            if wanted.is_empty() {
                return check_tree(raw, root, &fetched);
            }
            if fetched.values.len() + wanted.len() > MAX_TREE_VALUES {
                return Err(ConfigError::TooManyValues);
            }
            for name in wanted {
                let value = self.fetch_value(&name).await?;
                fetched.values.insert(name, value);
            }
        }
    }
}

fn check_tree(
    raw: Result<RawTree, Findings>,
    root: &str,
    fetched: &FetchedValues,
) -> Result<FetchedTree, ConfigError> {
    let tree = raw.and_then(Tree::try_from).map_err(ConfigError::Invalid)?;
    let mut hash = Xxh3::new();
    for (name, value) in &fetched.values {
        hash.update(name.as_bytes());
        hash.update(&[HASH_SEPARATOR]);
        hash.update(value);
        hash.update(&[HASH_SEPARATOR]);
    }
    Ok(FetchedTree {
        tree,
        root: fetched
            .values
            .get(root)
            .expect("the root value was fetched first")
            .clone(),
        fingerprint: hash.digest(),
    })
}

/// Returns whether `name` is valid for a value: letters, digits and `._-/`, no leading `/` and no `..`.
pub fn is_value_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    !name.is_empty()
        && name.len() <= MAX_VALUE_NAME_LENGTH
        && !name.starts_with('/')
        && !name.contains("..")
        && name.chars().all(allowed)
}
