//! The questions of this daemon that wait for answers of other daemons.

use {crate::gateway::request_digest::RequestDigest, foldhash::HashMap, std::net::SocketAddr};

/// What a daemon answers about a request.
pub trait Answer: Copy {
    /// The answer of a daemon that knows nothing of the request.
    const UNKNOWN: Self;

    /// Returns the place in the order by which one of two answers decides; the higher one does.
    fn precedence(&self) -> u8;

    /// Returns whether no other answer needs to be waited for.
    fn is_final(&self) -> bool;
}

/// A question that waits for answers.
#[derive(Debug)]
struct PendingQuery<A> {
    /// Daemons that were asked.
    asked: Vec<SocketAddr>,
    /// Daemons that haven't answered.
    missing: Vec<SocketAddr>,
    /// The answer that decides among those received.
    answer: A,
}

/// The pending questions, by the digests of their requests.
#[derive(Debug)]
pub struct PendingQueries<A>(HashMap<RequestDigest, PendingQuery<A>>);

impl<A> Default for PendingQueries<A> {
    fn default() -> Self {
        Self(HashMap::default())
    }
}

impl<A: Answer> PendingQueries<A> {
    /// Adds a question to other daemons. Returns `false` if they are being asked about the same request already.
    pub fn begin(&mut self, digest: RequestDigest, asked: Vec<SocketAddr>) -> bool {
        if self.0.contains_key(&digest) {
            return false;
        }
        let pending = PendingQuery {
            missing: asked.clone(),
            asked,
            answer: A::UNKNOWN,
        };
        self.0.insert(digest, pending);
        true
    }

    /// Takes a daemon's answer. Returns the other daemons if it is the first final one to a pending question.
    pub fn take(
        &mut self,
        digest: &RequestDigest,
        from: SocketAddr,
        answer: A,
    ) -> Option<Vec<SocketAddr>> {
        let pending = self.0.get_mut(digest)?;
        pending.missing.retain(|asked| *asked != from);
        if answer.precedence() <= pending.answer.precedence() {
            return None;
        }
        pending.answer = answer;
        let others = pending.asked.iter().filter(|asked| **asked != from);
        answer.is_final().then(|| others.copied().collect())
    }

    /// Returns whether a question is decided: it has a final answer, all daemons have answered, or it doesn't wait any
    /// more.
    pub fn is_decided(&self, digest: &RequestDigest) -> bool {
        self.0
            .get(digest)
            .is_none_or(|pending| pending.missing.is_empty() || pending.answer.is_final())
    }

    /// Returns the daemons that haven't answered a question.
    pub fn missing(&self, digest: &RequestDigest) -> &[SocketAddr] {
        self.0.get(digest).map_or(&[], |pending| &pending.missing)
    }

    /// Removes a question and returns the answer that decides among those received.
    pub fn end(&mut self, digest: &RequestDigest) -> A {
        let pending = self.0.remove(digest);
        pending.map_or(A::UNKNOWN, |pending| pending.answer)
    }
}
