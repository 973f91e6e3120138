//! The answers of engines to the question which parts of prompts they keep.
//!
//! The store has no clock and no socket: callers pass the time, and ask the engines that the store names.

use {
    crate::{
        gateway::{
            dialect::KeptPart,
            directory::endpoint_entry::EndpointEntry,
            rules::{
                kept_origin::{Kept, Witness},
                stream_origin::StreamOrigin,
            },
        },
        shared::{
            ids::EndpointId,
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// Shortest time after which an answer is forgotten.
const ANSWER_LIFETIME: Millis = Millis(10_000);

/// State of the last question to an engine.
#[derive(Debug)]
enum KeptAnswer {
    Waiting,
    Failed,
    /// Tokens that the engine keeps, by part.
    Kept(HashMap<u64, u64>),
}

/// The last question to an engine.
#[derive(Debug)]
struct Question {
    /// Entry of the engine when it was asked.
    entry: Arc<EndpointEntry>,
    asked: Time,
    answer: KeptAnswer,
}

/// The answers of the engines that this daemon asked.
#[derive(Debug, Default)]
pub struct KeptParts {
    questions: HashMap<EndpointId, Question>,
}

impl KeptParts {
    /// Returns those of the engines that are to be asked now, and counts them as asked: those whose last answer is older
    /// than `interval`, or belongs to another incarnation or version.
    pub fn begin(
        &mut self,
        now: Time,
        interval: Millis,
        engines: Vec<Arc<EndpointEntry>>,
    ) -> Vec<Arc<EndpointEntry>> {
        let lifetime = ANSWER_LIFETIME.max(interval);
        let is_recent = |question: &Question| now < question.asked + lifetime;
        self.questions.retain(|_, question| is_recent(question));
        let is_due = |entry: &Arc<EndpointEntry>| match self.questions.get(&entry.id) {
            Some(last) => now >= last.asked + interval || !is_same(&last.entry, entry),
            None => true,
        };
        let due: Vec<_> = engines.into_iter().filter(is_due).collect();
        for entry in &due {
            let question = Question {
                entry: entry.clone(),
                asked: now,
                answer: KeptAnswer::Waiting,
            };
            self.questions.insert(entry.id.clone(), question);
        }
        due
    }

    /// Takes the answer of an engine; `None` if it gave none.
    pub fn record(&mut self, entry: &EndpointEntry, parts: Option<Vec<KeptPart>>) {
        let Some(question) = self.questions.get_mut(&entry.id) else {
            return;
        };
        if !is_same(&question.entry, entry) {
            return;
        }
        question.answer = match parts {
            Some(parts) => {
                KeptAnswer::Kept(parts.iter().map(|part| (part.id, part.tokens)).collect())
            }
            None => KeptAnswer::Failed,
        };
    }

    /// Returns whether one of the engines hasn't answered yet.
    pub fn is_waiting(&self, engines: &[EndpointId]) -> bool {
        let mut asked = engines.iter().filter_map(|id| self.questions.get(id));
        asked.any(|question| matches!(question.answer, KeptAnswer::Waiting))
    }

    /// Returns what an engine keeps of a part. An answer from before its entry changed proves nothing.
    pub fn witness(&self, entry: &EndpointEntry, part: u64) -> Witness {
        let question = self.questions.get(&entry.id);
        let kept = match question.filter(|question| is_same(&question.entry, entry)) {
            Some(Question {
                answer: KeptAnswer::Kept(parts),
                ..
            }) => parts
                .get(&part)
                .map_or(Kept::Nothing, |tokens| Kept::Tokens(*tokens)),
            _ => Kept::Unknown,
        };
        Witness {
            origin: StreamOrigin::of(entry),
            kept,
        }
    }
}

/// Returns whether two entries describe the same incarnation and version of an engine at the same address.
fn is_same(one: &EndpointEntry, other: &EndpointEntry) -> bool {
    one.started == other.started
        && one.version == other.version
        && one.service == other.service
        && one.address == other.address
}
