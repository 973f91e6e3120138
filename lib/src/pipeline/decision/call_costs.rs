//! Costs of a service's calls.

use crate::{
    pipeline::decision::{
        endpoint::Prefill,
        estimate::Average,
        prefix::{BLOCK, Holder, Prefix},
    },
    settings::tree::Service,
    shared::{ids::MemberSerial, units::WorkMillis},
};

/// First guesses, until calls have been observed: of a plain call, a token, a byte of a prompt.
const CALL_GUESS: WorkMillis = WorkMillis(5.0);
const TOKEN_GUESS: WorkMillis = WorkMillis(5.0);
const BYTE_GUESS: WorkMillis = WorkMillis(0.005);

/// What determines the work of one call.
#[derive(Debug, Clone, Default)]
pub struct CallSize {
    /// Bytes of the input.
    pub bytes: usize,
    /// Most tokens to generate.
    pub tokens: u32,
    /// Blocks of the input, if it is a prompt whose beginning may be cached.
    pub prefix: Prefix,
}

/// A call about to be placed: its size, and who probably holds its beginning.
#[derive(Debug, Clone)]
pub struct CallPlacement {
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

/// Costs of a service's calls, in milliseconds of endpoint time.
#[derive(Debug, Clone)]
pub(crate) struct CallCosts {
    /// A whole call, as it usually is.
    pub(crate) call: Average,
    /// One token of a generation.
    pub(crate) token: Average,
    /// One byte of a prompt that isn't cached.
    pub(crate) byte: Average,
}

impl CallCosts {
    pub(crate) fn new(service: &Service) -> Self {
        let floor = service.settings.floor.value.0 as f64;
        Self {
            call: Average::new(floor.max(CALL_GUESS.0)),
            token: Average::new(TOKEN_GUESS.0),
            byte: Average::new(BYTE_GUESS.0),
        }
    }

    pub(crate) fn learn(
        &mut self,
        size: &CallSize,
        tokens: u32,
        served: WorkMillis,
        prefill: Option<Prefill>,
    ) {
        self.call.observe_bounded(served.0);
        let Some(prefill) = prefill else {
            self.token
                .observe_bounded(served.0 / f64::from(tokens.max(1)));
            return;
        };
        let decode = (served.0 - prefill.spent.0).max(0.0);
        self.token
            .observe_bounded(decode / f64::from(tokens.max(1)));
        let uncached = (size.bytes as u64).saturating_sub(prefill.cached_bytes);
        if uncached >= BLOCK as u64 {
            self.byte.observe_bounded(prefill.spent.0 / uncached as f64);
        }
    }
}
