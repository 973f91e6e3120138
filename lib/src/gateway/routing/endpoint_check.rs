//! Looks whether an endpoint ended when an attempt there broke off, and whether one that ended is back.
//!
//! An endpoint that ended gets nothing while others are available, until it accepts a connection or its entry is of
//! another life. Its entry stands for seconds, and it looks idle, so that it would be chosen first again and again
//! otherwise.

use {
    crate::gateway::{
        dialect::Dialect,
        directory::endpoint_entry::EndpointEntry,
        routing::call::ForwardedCall,
        state::Gateway,
        wire::endpoint_check::{EndpointCheck, check},
    },
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Time to the first look whether an endpoint that ended is back; each later one comes after twice the time. An entry
/// stands for 3.6 s where endpoints write it each 1.2 s, which makes three looks.
const FIRST_LOOK: Duration = Duration::from_millis(400);

/// Longest time between two looks.
const LONGEST_LOOK: Duration = Duration::from_millis(1_600);

impl<D: Dialect> Gateway<D> {
    /// Looks whether an endpoint ended, after an attempt there broke off that may have run. The look goes on if
    /// the caller leaves meanwhile.
    pub(crate) async fn check_endpoint(
        self: &Rc<Self>,
        call: &ForwardedCall,
        entry: &Arc<EndpointEntry>,
    ) {
        let (gateway, request, digest) = (self.clone(), call.inbound.id.clone(), call.digest);
        let entry = entry.clone();
        let look = tokio::task::spawn_local(async move {
            if check(entry.address).await == EndpointCheck::Ended {
                gateway.metrics.endpoints.ended();
                log::warn!(request = &*request, endpoint:% = entry.id, digest:%; "endpoint.ended");
                gateway.record_ended(digest, &entry);
                gateway.set_ended(&entry);
            }
        });
        // The look can only fail with the process.
        let _ = look.await;
    }

    /// Records that an endpoint has ended, and begins to look whether it is back.
    pub(crate) fn set_ended(self: &Rc<Self>, entry: &Arc<EndpointEntry>) {
        let now = self.now();
        let is_new = self.state.borrow_mut().endpoints.refused(now, entry);
        if is_new {
            self.watch_ended(entry.clone());
        }
    }

    /// Looks now and then whether an endpoint that ended accepts connections again, as long as this life may get work
    /// again.
    pub(crate) fn watch_ended(self: &Rc<Self>, entry: Arc<EndpointEntry>) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            let mut pause = FIRST_LOOK;
            loop {
                tokio::time::sleep(pause).await;
                if !gateway.state.borrow().endpoints.may_return(&entry) {
                    return;
                }
                if gateway.state.borrow().endpoints.is_resting(&entry) {
                    continue;
                }
                if check(entry.address).await == EndpointCheck::Alive {
                    gateway.state.borrow_mut().endpoints.accepted(&entry);
                    return;
                }
                pause = LONGEST_LOOK.min(pause * 2);
            }
        });
    }
}
