//! A source of settings values that consists of a single value.

use {hazelyoke_lib::settings::raw_tree::ValueSource, std::convert::Infallible};

/// A source that returns the same value for every name.
#[derive(Debug, Clone)]
pub struct OneValue(pub Vec<u8>);

impl From<String> for OneValue {
    fn from(text: String) -> Self {
        Self(text.into_bytes())
    }
}

impl ValueSource for OneValue {
    type Error = Infallible;

    fn read(&self, _: &str) -> Result<Vec<u8>, Infallible> {
        Ok(self.0.clone())
    }
}
