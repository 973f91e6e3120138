//! How much endpoint time does a call cost?
//!
//! Inputs: the size of a call (bytes of its input, most tokens, blocks of its prompt), and the
//! endpoint time in milliseconds of the calls that were served. Output: its estimated work in
//! milliseconds, and how much of it an engine saves that holds the prompt's beginning.
//!
//! The rule: a plain call costs what calls of its service cost on average. A generation costs its
//! tokens and the bytes of its prompt, each at a learnt price; a block held in an engine's cache
//! costs nothing. One call counts as at most a fixed multiple of a settled average
//! ([`Average::observe_bounded`](super::average::Average::observe_bounded)).
//!
//! The reason: the service's calls are alike, and an engine reports its prefill apart from its
//! decoding, so both prices can be learnt without being set. What the cache saves is in
//! `docs/MEASUREMENTS.md`, "Prefix affinity".
//!
//! `test_policy_pins.rs` (`pool_choices`) pins the rule.

use crate::{
    pipeline::decision::{
        average::Average,
        endpoint::Generation,
        prefix::{BLOCK, Holder, Prefix},
    },
    settings::tree::{Service, ServiceKind},
    shared::{ids::MemberSerial, units::WorkMillis},
};

/// First guess of a plain call, until calls have been observed; a larger `floor` takes its place. It is gone with the
/// first call.
const CALL_GUESS: WorkMillis = WorkMillis(5.0);

/// First guess of one token of a generation.
const TOKEN_GUESS: WorkMillis = WorkMillis(5.0);

/// First guess of one byte of a prompt.
const BYTE_GUESS: WorkMillis = WorkMillis(0.005);

/// Size of one call: all that determines its work.
#[derive(Debug, Clone, Default)]
pub struct CallSize {
    /// Bytes of the input.
    pub bytes: usize,
    /// Most tokens to generate.
    pub tokens: u32,
    /// Blocks of the input, if it is a prompt whose beginning may be cached.
    pub prefix: Prefix,
}

/// A call about to be placed: its work, and the engines that probably hold its beginning.
#[derive(Debug, Clone)]
pub struct CallPlacement {
    /// Size of the call.
    pub size: CallSize,
    /// Work of the call where nothing is cached.
    pub work: WorkMillis,
    /// Work saved by each cached block.
    pub block_saving: WorkMillis,
    /// Engines that probably hold its beginning.
    pub holders: Vec<Holder>,
}

impl CallPlacement {
    /// Estimates the work of the call at one endpoint.
    pub fn work_at(&self, serial: MemberSerial) -> WorkMillis {
        let held = self.holders.iter().find(|holder| holder.serial == serial);
        let saved = held.map_or(0.0, |held| held.blocks as f64 * self.block_saving.0);
        WorkMillis((self.work.0 - saved).max(0.0))
    }
}

/// Costs of a service's calls, in endpoint time.
#[derive(Debug, Clone)]
pub(crate) struct CallCosts {
    /// A whole call, as it usually is.
    call: Average,
    /// One token of a generation.
    token: Average,
    /// One byte of a prompt that isn't cached.
    byte: Average,
}

impl CallCosts {
    /// Starts from guesses.
    pub(crate) fn new(service: &Service) -> Self {
        let floor = service.settings.floor.value.0 as f64;
        Self {
            call: Average::new(WorkMillis(floor.max(CALL_GUESS.0))),
            token: Average::new(TOKEN_GUESS),
            byte: Average::new(BYTE_GUESS),
        }
    }

    /// Estimates a usual call.
    pub(crate) fn usual(&self) -> WorkMillis {
        self.call.get()
    }

    /// Estimates a call of which nothing is cached.
    pub(crate) fn work(&self, kind: &ServiceKind, size: &CallSize) -> WorkMillis {
        match kind {
            ServiceKind::Plain => self.call.get(),
            ServiceKind::Engine { .. } => {
                let decode = self.token.get().0 * f64::from(size.tokens);
                WorkMillis(decode + self.byte.get().0 * size.bytes as f64)
            }
        }
    }

    /// Estimates one block of a prompt.
    pub(crate) fn block(&self) -> WorkMillis {
        WorkMillis(self.byte.get().0 * BLOCK as f64)
    }

    /// Learns from a call of `size` that kept its endpoint busy for `served`.
    pub(crate) fn learn(&mut self, size: &CallSize, generation: Generation, served: WorkMillis) {
        self.call.observe_bounded(served);
        let tokens = f64::from(generation.tokens.max(1));
        let Some(prefill) = generation.prefill else {
            let token = WorkMillis(served.0 / tokens);
            self.token.observe_bounded(token);
            return;
        };
        let decode = (served.0 - prefill.spent.0).max(0.0);
        self.token.observe_bounded(WorkMillis(decode / tokens));
        let uncached = (size.bytes as u64).saturating_sub(prefill.cached_bytes);
        // Less than a block says little of a byte's price.
        if uncached >= BLOCK as u64 {
            let byte = WorkMillis(prefill.spent.0 / uncached as f64);
            self.byte.observe_bounded(byte);
        }
    }
}
