//! Draws how the calls of a run end when they are sent, and plans their ends.

use {
    super::{CoreRun, Due, MAX_SERVICE, TOKENS},
    crate::expect,
    arbtest::arbitrary::Result,
    hazelyoke_lib::{
        pipeline::decision::endpoint::{
            AttemptEnd, EndpointCall, EndpointReply, FailCause, NotRunCause,
        },
        settings::tree::ServiceKind,
        shared::units::{Time, WorkMillis},
    },
};

/// Endpoint time that every call reports.
const SERVED: WorkMillis = WorkMillis(1.0);

impl CoreRun<'_, '_> {
    /// Draws how and when a call ends, and plans that.
    pub(super) fn send(&mut self, call: EndpointCall) -> Result<()> {
        let attempt = call.ids.attempt;
        let at = self.now.0 + self.choices.int_in_range(1..=MAX_SERVICE)?;
        let end = self.draw_end(&call, at)?;
        let ran = !matches!(end, Some(AttemptEnd::NotRun(_))) || self.options.lying;
        self.observer.sent(&call, ran);
        if let Some(end) = end {
            self.plan(Time(at), Due::End(attempt, end));
        }
        Ok(())
    }

    /// Draws how a call ends; `None` if the endpoint never answers.
    fn draw_end(&mut self, call: &EndpointCall, at: u64) -> Result<Option<AttemptEnd>> {
        if !self.options.faults {
            return self.good_end(call, at).map(Some);
        }
        Ok(match self.choices.int_in_range(0..=9)? {
            0 => Some(AttemptEnd::NotRun(NotRunCause::Unreachable)),
            1 => Some(AttemptEnd::NotRun(NotRunCause::Busy)),
            2 => Some(AttemptEnd::NotRun(NotRunCause::Leaving)),
            3 => Some(AttemptEnd::Failed(FailCause::Broken)),
            4 => Some(AttemptEnd::Failed(FailCause::Garbage)),
            5 => None,
            _ => Some(self.good_end(call, at)?),
        })
    }

    fn good_end(&mut self, call: &EndpointCall, at: u64) -> Result<AttemptEnd> {
        let ServiceKind::Engine { model } = &call.kind else {
            let service = self.service_of(call);
            return Ok(AttemptEnd::Answered(EndpointReply {
                status: 200,
                body: expect::plain_output(&service, &call.input),
                served: Some(SERVED),
            }));
        };
        for index in call.resume.tokens..TOKENS {
            if let Some(when) = self.draw_token_time(at)? {
                let text = expect::token(model, &call.input, index);
                self.plan(when, Due::Token(call.ids.attempt, index, text));
            }
        }
        Ok(AttemptEnd::StreamEnded {
            tokens: TOKENS,
            served: Some(SERVED),
            prefill: None,
        })
    }

    /// Draws when a token arrives; `None` if it is lost. Without faults the tokens arrive in order, with faults in any
    /// order.
    fn draw_token_time(&mut self, end: u64) -> Result<Option<Time>> {
        let early = Time(self.choices.int_in_range(self.now.0..=end)?);
        if !self.options.faults {
            return Ok(Some(Time(end)));
        }
        if self.choices.ratio(1, 20)? {
            return Ok(None);
        }
        let disordered = self.choices.ratio(1, 20)?;
        Ok(Some(if disordered { early } else { Time(end) }))
    }

    fn service_of(&self, call: &EndpointCall) -> String {
        let services = self.tree.services.values();
        let mut owners = services.filter(|service| {
            let mut endpoints = service.endpoints.iter();
            endpoints.any(|spec| spec.id == call.endpoint)
        });
        owners.next().expect("a known endpoint").id.to_string()
    }
}
