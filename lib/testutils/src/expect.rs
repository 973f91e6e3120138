//! What the stand-ins answer: a value that only the request itself can give.
//!
//! Each stage's output is a hash over its service's name and its input, so an answer that was
//! lost, doubled, crossed or taken from another stage doesn't have the value that its caller
//! works out.

use {
    bytes::Bytes,
    std::{
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
        sync::Arc,
    },
};

fn hash(parts: &[&[u8]]) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(parts)
}

/// Output of a plain service for an input.
pub fn plain_output(service: &str, input: &[u8]) -> Bytes {
    let mark = hash(&[service.as_bytes(), input]);
    Bytes::from(format!("{{\"mark\":\"{mark:016x}\"}}"))
}

/// One token of an engine's generation for an input.
pub fn token(model: &str, input: &[u8], index: u32) -> String {
    let mark = hash(&[model.as_bytes(), input, &index.to_le_bytes()]);
    format!("{:04x} ", mark & 0xffff)
}

/// Text of a whole generation.
pub fn generation(model: &str, input: &[u8], tokens: u32) -> String {
    (0..tokens).map(|i| token(model, input, i)).collect()
}

/// One stage as the caller's expectation needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A plain service.
    Plain(Arc<str>),
    /// An engine with its model and number of tokens.
    Engine(Arc<str>, u32),
}

/// Works out the whole answer of a pipeline for a body.
pub fn answer(steps: &[Step], body: &[u8]) -> Bytes {
    let mut value = Bytes::copy_from_slice(body);
    for step in steps {
        value = match step {
            Step::Plain(service) => plain_output(service, &value),
            Step::Engine(model, tokens) => {
                let text = generation(model, &value, *tokens);
                hazelyoke_lib::pipeline::decision::attempt::generated_body(&text, *tokens)
            }
        };
    }
    value
}
