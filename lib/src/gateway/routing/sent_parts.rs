//! The prompt parts that an endpoint probably still caches because this daemon sent them lately.

use {
    crate::{
        gateway::dialect::Prompt,
        shared::units::{Millis, Time},
    },
    foldhash::HashMap,
};

/// Time for which a part is assumed to stay cached at the endpoint after it was last sent.
const CACHE_TIME: Millis = Millis(20_000);

/// Largest number of parts that are kept for one endpoint; if there are more, all are discarded. At 16 bytes per part
/// this limits the memory per endpoint to about 100 KB.
const PART_LIMIT: usize = 4_096;

/// Ids of prompt parts that were sent to one endpoint, each with the time at which it was last sent.
#[derive(Debug, Default)]
pub(crate) struct SentParts {
    sent: HashMap<u64, Time>,
}

impl SentParts {
    /// Records that a prompt was sent.
    pub(crate) fn record(&mut self, now: Time, prompt: &Prompt) {
        if self.sent.len() > PART_LIMIT {
            self.sent.clear();
        }
        for part in &prompt.parts {
            self.sent.insert(part.id, now);
        }
    }

    /// Returns the number of tokens at the beginning of a prompt that the endpoint probably caches.
    pub(crate) fn cached_tokens(&self, now: Time, prompt: &Prompt) -> u32 {
        let is_cached = |id: &u64| {
            self.sent
                .get(id)
                .is_some_and(|sent| now.since(*sent) < CACHE_TIME.to_duration())
        };
        prompt
            .parts
            .iter()
            .take_while(|part| is_cached(&part.id))
            .map(|part| part.tokens)
            .sum()
    }
}
