//! How much endpoint time does a call cost?
//!
//! Inputs: the size of a call (bytes of its input, largest number of tokens, blocks of its prompt), and the endpoint
//! time in milliseconds of the calls that were served. Output: the call's estimated work in milliseconds, and how much
//! of it an engine saves that has the start of the prompt in its cache.
//!
//! Rule: a plain call costs what the calls of its service cost on average. A generation costs its tokens and the bytes
//! of its prompt, each at a learnt cost; a block in an engine's cache costs nothing. One call counts as at most a fixed
//! multiple of a settled average ([`Average::observe_bounded`](super::average::Average::observe_bounded)).
//!
//! Reason: the calls of a service are alike, and an engine reports its prefill separately from its decoding, so both
//! costs can be learnt and need no setting. What the cache saves is in `docs/MEASUREMENTS.md`, "Prefix affinity".
//!
//! `test_policy_pins.rs` (`pool_choices`) pins the rule.

use crate::{
    pipeline::decision::{
        average::Average,
        endpoint::Generation,
        prefix::{BLOCK_BYTES, Holder, Prefix},
    },
    settings::tree::{Service, ServiceKind},
    shared::{ids::MemberSerial, units::WorkMillis},
};

/// Assumed work of a call before the first one is observed, which replaces it; a larger `floor` setting is used
/// instead.
const INITIAL_CALL_COST: WorkMillis = WorkMillis(5.0);

/// Assumed work per generated token before the first generation is observed.
const INITIAL_TOKEN_COST: WorkMillis = WorkMillis(5.0);

/// Assumed work per uncached byte of a prompt before the first prefill is observed.
const INITIAL_BYTE_COST: WorkMillis = WorkMillis(0.005);

/// Size of one call: what its work is estimated from.
#[derive(Debug, Clone, Default)]
pub struct CallSize {
    /// Bytes of the input.
    pub bytes: usize,
    /// Largest number of tokens to generate.
    pub tokens: u32,
    /// Hashes of the input's blocks, if it is a prompt whose start may be cached; otherwise empty.
    pub prefix: Prefix,
}

/// Estimated work of a call, and the engines that probably have the start of its prompt in their cache. The choice of an
/// endpoint depends on both.
#[derive(Debug, Clone)]
pub struct CallEstimate {
    /// Size of the call.
    pub size: CallSize,
    /// Work of the call at an endpoint that has nothing of it in its cache.
    pub work: WorkMillis,
    /// Work that each cached block saves.
    pub block_saving: WorkMillis,
    /// Engines that probably have the start of the prompt in their cache.
    pub holders: Vec<Holder>,
}

impl CallEstimate {
    /// Estimates the work of the call at one endpoint, less what its cache saves.
    pub fn work_at(&self, serial: MemberSerial) -> WorkMillis {
        let held = self.holders.iter().find(|holder| holder.serial == serial);
        let saved = held.map_or(0.0, |held| held.blocks as f64 * self.block_saving.0);
        WorkMillis((self.work.0 - saved).max(0.0))
    }
}

/// Learnt costs of a service's calls, in milliseconds of endpoint time.
#[derive(Debug, Clone)]
pub(crate) struct CallCosts {
    /// Average work of a call.
    call: Average,
    /// Average work per generated token.
    token: Average,
    /// Average work per byte of a prompt that isn't cached.
    byte: Average,
}

impl CallCosts {
    /// Creates the costs of a service of which no call was observed yet.
    pub(crate) fn new(service: &Service) -> Self {
        let floor = service.settings.floor.value.0 as f64;
        Self {
            call: Average::new(WorkMillis(floor.max(INITIAL_CALL_COST.0))),
            token: Average::new(INITIAL_TOKEN_COST),
            byte: Average::new(INITIAL_BYTE_COST),
        }
    }

    /// Estimates the work of an average call.
    pub(crate) fn average_work(&self) -> WorkMillis {
        self.call.get()
    }

    /// Estimates the work of a call of `size` at an endpoint that has nothing of it in its cache.
    pub(crate) fn call_work(&self, kind: &ServiceKind, size: &CallSize) -> WorkMillis {
        match kind {
            ServiceKind::Plain => self.call.get(),
            ServiceKind::Engine { .. } => {
                let decode = self.token.get().0 * f64::from(size.tokens);
                WorkMillis(decode + self.byte.get().0 * size.bytes as f64)
            }
        }
    }

    /// Estimates the work for one uncached block of a prompt.
    pub(crate) fn block_work(&self) -> WorkMillis {
        WorkMillis(self.byte.get().0 * BLOCK_BYTES as f64)
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
        // A prefill of less than a block is too short to show the cost of a byte.
        if uncached >= BLOCK_BYTES as u64 {
            let byte = WorkMillis(prefill.spent.0 / uncached as f64);
            self.byte.observe_bounded(byte);
        }
    }
}
