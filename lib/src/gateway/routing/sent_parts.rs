//! The parts of prompts that an endpoint probably still caches, since this daemon sent them lately.

use {
    crate::{
        gateway::dialect::Prompt,
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Time for which a part is believed to stay cached where it was sent.
const LIFETIME: Millis = Millis(20_000);

/// Most parts remembered for one endpoint; beyond them all are forgotten. At 16 bytes a part this bounds the memory of
/// an endpoint at about 100 KB.
const MOST_PARTS: usize = 4_096;

/// Parts of prompts that were sent to one endpoint, with the time of the last sending.
#[derive(Debug, Default)]
pub(crate) struct SentParts {
    sent: HashMap<u64, Time>,
}

impl SentParts {
    /// Records that a prompt was sent.
    pub(crate) fn record(&mut self, now: Time, prompt: &Prompt) {
        if self.sent.len() > MOST_PARTS {
            self.sent.clear();
        }
        for part in &prompt.parts {
            self.sent.insert(part.id, now);
        }
    }

    /// Returns the tokens of a prompt's beginning that are probably cached.
    pub(crate) fn cached_tokens(&self, now: Time, prompt: &Prompt) -> u32 {
        let is_cached = |id: &u64| {
            self.sent
                .get(id)
                .is_some_and(|sent| now.since(*sent) < LIFETIME.to_duration())
        };
        prompt
            .parts
            .iter()
            .take_while(|part| is_cached(&part.id))
            .map(|part| part.tokens)
            .sum()
    }
}
