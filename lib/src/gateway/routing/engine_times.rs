//! Applies the models of engines: the expected time of a request of a tight service, and the samples from its attempts.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            engines::service_model::EngineKnowledge,
            routing::{call::ForwardedCall, outbound::choose_endpoint_in},
            rules::{
                eligibility::AllowedDataCentres,
                endpoint_choice::EndpointChoice,
                engine_model::{EngineLoad, EngineSample},
                reported_slowdown,
            },
            state::Gateway,
        },
        shared::{
            ids::EndpointId,
            units::{Time, WorkMillis},
        },
    },
    std::time::Duration,
};

/// Returns the expected time from sending a request to its first event at the endpoint that would be chosen now; `None`
/// if its service isn't tight. If no endpoint may get it now, the time is that of a usual endpoint without load.
pub(crate) fn own_time<D: Dialect>(
    gateway: &Gateway<D>,
    call: &ForwardedCall,
    allowed: &AllowedDataCentres,
) -> Option<WorkMillis> {
    let idle = {
        let state = gateway.state.borrow();
        let load = EngineLoad {
            tokens: f64::from(call.inbound.prompt.tokens_in),
            in_flight: 0,
            slowdown: 1.0,
        };
        state.engines.service(&call.service)?.usual_time(&load)
    };
    match choose_endpoint_in(gateway, call, allowed, &[], None, call.origin) {
        Ok(choice) => choice.first_event,
        Err(_) => Some(idle),
    }
}

impl<D: Dialect> Gateway<D> {
    /// Adds the first event of an attempt that was sent at `sent` to the model of its service, if that is tight.
    ///
    /// A request that was sent to an engine without a free slot is left out: its time includes the wait for a slot,
    /// which the model doesn't describe. So is one during which this process stalled.
    pub(crate) fn record_engine_time(&self, choice: &EndpointChoice, sent: Time) {
        let now = self.now();
        let entry = &choice.entry;
        let mut state = self.state.borrow_mut();
        if choice.first_event.is_none() {
            return;
        }
        let member = state.endpoints.get(&entry.id);
        let Some(member) = member.filter(|member| member.entry.started == entry.started) else {
            return;
        };
        let (incarnation, reported) = (member.incarnation, member.reported_load);
        if let Some((_, load)) = reported.filter(|(at, _)| *at >= sent) {
            self.metrics.engines.count_first_event(load.waiting);
        }
        let stalled = state.peers.stalls.stalled_since(sent, now);
        if choice.in_flight >= entry.slots || stalled > Duration::ZERO {
            return;
        }
        let load = EngineLoad {
            tokens: choice.tokens,
            in_flight: choice.in_flight,
            slowdown: reported_slowdown::factor(now, reported),
        };
        let sample = EngineSample {
            load,
            waited: WorkMillis(now.millis_since(sent)),
        };
        let recorded = state
            .engines
            .record_first_event(now, &entry.service, incarnation, sample);
        match recorded {
            Ok(Some(knowledge)) => log_learnt(&entry.id, &knowledge),
            Ok(None) => {}
            Err(error) if state.engines.record_unclear(incarnation) => {
                log::warn!(endpoint:% = entry.id, error:%; "engine.sample_unclear");
            }
            Err(_logged_before) => {}
        }
    }
}

fn log_learnt(endpoint: &EndpointId, knowledge: &EngineKnowledge) {
    let service = knowledge.figures.service;
    log::info!(
        endpoint:%,
        tokens_per_ms = service.tokens_per_ms(),
        fixed_ms = service.fixed().0,
        generation_ms = service.generation().0,
        speed = knowledge.figures.speed,
        samples = knowledge.samples;
        "engine.learnt"
    );
}
