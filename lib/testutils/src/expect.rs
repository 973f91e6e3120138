//! The answers of the test doubles, which depend on the request.
//!
//! The output of a stage is a hash of its service's name and its input. The caller computes the expected answer, and so
//! detects an answer that was lost, duplicated, or taken from another request or stage.

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

/// Returns the output of a plain service for an input.
pub fn plain_output(service: &str, input: &[u8]) -> Bytes {
    let mark = hash(&[service.as_bytes(), input]);
    Bytes::from(format!("{{\"mark\":\"{mark:016x}\"}}"))
}

/// Returns one token of an engine's generation for an input.
pub fn token(model: &str, input: &[u8], index: u32) -> String {
    let mark = hash(&[model.as_bytes(), input, &index.to_le_bytes()]);
    format!("{:04x} ", mark & 0xffff)
}

/// Returns the text of a complete generation.
pub fn generation(model: &str, input: &[u8], tokens: u32) -> String {
    (0..tokens).map(|i| token(model, input, i)).collect()
}

/// A stage of a pipeline, for the computation of the expected answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A plain service.
    Plain(Arc<str>),
    /// An engine with its model and number of tokens.
    Engine(Arc<str>, u32),
}

/// Computes the complete answer of a pipeline for a body.
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
