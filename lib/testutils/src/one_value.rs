//! A tree that stands in one value, whatever its name.

use hazelyoke_lib::settings::raw_tree::ValueSource;

/// The only value, given for every name.
#[derive(Debug, Clone)]
pub struct OneValue(pub Vec<u8>);

impl From<String> for OneValue {
    fn from(text: String) -> Self {
        Self(text.into_bytes())
    }
}

impl ValueSource for OneValue {
    fn read(&self, _: &str) -> Result<Vec<u8>, String> {
        Ok(self.0.clone())
    }
}
