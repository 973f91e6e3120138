//! Opens connections to endpoints, and records whether this host reaches them.

use crate::gateway::{
    dialect::Dialect,
    directory::endpoint_entry::EndpointEntry,
    state::Gateway,
    wire::egress::{self, CONNECT_LIMIT, FreshConnection, SendError},
};

impl<D: Dialect> Gateway<D> {
    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection can't be opened; no byte of a request was sent then.
    pub(crate) async fn connect(
        &self,
        entry: &EndpointEntry,
    ) -> Result<FreshConnection, SendError> {
        let connection = egress::connect(entry.address, CONNECT_LIMIT).await;
        match &connection {
            Ok(_) => self.record_direct_connect(),
            Err(error) => self.record_direct_failure(entry, error),
        }
        connection
    }

    fn record_direct_connect(&self) {
        let isolated = self.state.borrow_mut().reach.record_connected(self.now());
        if let Some(time) = isolated {
            log::warn!(isolated_ms = time.as_millis() as u64; "host.regained");
            self.metrics.endpoints.set_isolated(false);
        }
    }

    fn record_direct_failure(&self, entry: &EndpointEntry, error: &SendError) {
        self.metrics
            .endpoints
            .count_failed_connect(error.is_refused());
        let mut state = self.state.borrow_mut();
        let isolated = state.reach.record_failed(self.now(), entry.incarnation());
        drop(state);
        if let Some(endpoints) = isolated {
            log::warn!(endpoints, error:%; "host.isolated");
            self.metrics.endpoints.set_isolated(true);
        }
    }
}
