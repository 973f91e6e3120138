//! The request for a relay, and the protocols in which a relay passes on the bytes of the endpoint.

use http::{HeaderMap, HeaderValue, header};

/// Path of the request.
pub(super) const RELAY_PATH: &str = "/relay";

/// Header with the id of the endpoint.
pub(super) const ENDPOINT_HEADER: &str = "endpoint";

/// Protocols that the request offers, the preferred one first. Earlier releases don't read them.
pub(super) const OFFERED_PROTOCOLS: HeaderValue =
    HeaderValue::from_static("hazelyoke-relay-frames, hazelyoke-relay");

const FRAMED_PROTOCOL: &str = "hazelyoke-relay-frames";
const PLAIN_PROTOCOL: &str = "hazelyoke-relay";

/// How a relay passes on the bytes of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayProtocol {
    /// As they are: the protocol of earlier releases.
    Plain,
    /// In frames, of which the last one states that the endpoint has closed its connection.
    Framed,
}

impl RelayProtocol {
    /// Returns the preferred one of the protocols that a request or an answer names.
    pub(super) fn read(headers: &HeaderMap) -> Self {
        let names = headers.get_all(header::UPGRADE).iter();
        let mut names = names
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','));
        if names.any(|name| name.trim() == FRAMED_PROTOCOL) {
            Self::Framed
        } else {
            Self::Plain
        }
    }

    /// Returns whether the end of the endpoint's connection can be told from the end of the relay.
    pub(super) fn marks_end(self) -> bool {
        self == Self::Framed
    }

    /// Returns the protocol's name as a header.
    pub(super) fn name(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Plain => PLAIN_PROTOCOL,
            Self::Framed => FRAMED_PROTOCOL,
        })
    }
}
