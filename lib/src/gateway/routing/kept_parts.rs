//! Asks engines which parts of prompts they keep, to find where a stream began that no daemon remembers.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound, KeptPart},
            directory::endpoint_entry::EndpointEntry,
            rules::{
                kept_origin::{
                    KEPT_WAIT, LIST_WAIT, MAX_ENGINES, Witness, ask_interval, kept_origin, list_age,
                },
                stream_origin::StreamOrigin,
            },
            state::{Gateway, GatewayState},
            table::Route,
            wire::body_memory::read_held,
        },
        shared::{ids::EndpointId, units::ByteSize},
    },
    bytes::Bytes,
    http::{HeaderValue, Request, StatusCode, Uri, header},
    http_body_util::Full,
    std::{rc::Rc, sync::Arc},
};

/// Maximum size of an answer in bytes.
const MAX_CACHE_ANSWER: ByteSize = ByteSize(256 << 10);

impl<D: Dialect> Gateway<D> {
    /// Returns the origin of the stream that a request takes up if the engines of its route prove it.
    pub(crate) async fn proven_origin(
        self: &Rc<Self>,
        inbound: &Inbound,
        route: &Route,
    ) -> Option<StreamOrigin> {
        let own = *inbound.prompt.parts.last()?;
        let last_event = inbound.last_event.filter(|last| *last > 0)?;
        if !self.has_current_list().await {
            log::info!(request = &*inbound.id; "origin.list_outdated");
            return None;
        }
        let engines = self.engines_of(route)?;
        let ids: Vec<EndpointId> = engines.iter().map(|entry| entry.id.clone()).collect();
        let now = self.now();
        let due = {
            let mut state = self.state.borrow_mut();
            let interval = ask_interval(state.peers.daemons());
            state.kept_parts.begin(now, interval, engines)
        };
        for entry in due {
            // Other requests wait for the same answer, so that it is read to its end also if this caller leaves.
            tokio::task::spawn_local(ask(self.clone(), entry));
        }
        let is_answered = |state: &GatewayState| !state.kept_parts.is_waiting(&ids);
        self.wait_for_peers(&self.kept_answers, now + KEPT_WAIT, is_answered)
            .await;
        // An entry may have changed meanwhile, or an endpoint come.
        let witnesses: Vec<Witness> = {
            let engines = self.engines_of(route)?;
            let state = self.state.borrow();
            let witness = |entry| state.kept_parts.witness(entry, own.id);
            engines.iter().map(|entry| witness(entry)).collect()
        };
        let origin = kept_origin(own, last_event, &witnesses);
        let found = origin.map_or("-".into(), |origin| origin.to_string());
        log::info!(request = &*inbound.id, engines = ids.len(), origin = found.as_str(); "origin.sought");
        origin
    }

    /// Waits until this daemon knows all endpoints of the present, as far as the rule requires it. Returns whether it does.
    async fn has_current_list(&self) -> bool {
        let now = self.now();
        let time = {
            let mut state = self.state.borrow_mut();
            let age = list_age(state.reader(now).must_read(), state.peers.daemons());
            let time = now - age;
            if !state.contact.is_current(time) {
                state.contact.want_changes(time);
                self.list_wanted.notify_waiters();
            }
            time
        };
        let is_current = |state: &GatewayState| state.has_list && state.contact.is_current(time);
        self.wait_for_peers(&self.list_read, now + LIST_WAIT, is_current)
            .await
    }

    /// Returns the entries of a route's endpoints; `None` if some aren't engines, or if they are too many to be asked.
    fn engines_of(&self, route: &Route) -> Option<Vec<Arc<EndpointEntry>>> {
        let published = self.published()?;
        let mut backends = route.backends.iter();
        let is_engine = |id| {
            published
                .table
                .service(id)
                .is_some_and(|entry| entry.engine)
        };
        if !backends.all(|backend| is_engine(&backend.service)) {
            return None;
        }
        let state = self.state.borrow();
        let services = route.backends.iter().map(|backend| &backend.service);
        let members = services.flat_map(|service| state.endpoints.service(service));
        let entries: Vec<_> = members.map(|member| member.entry.clone()).collect();
        (entries.len() <= MAX_ENGINES).then_some(entries)
    }
}

async fn ask<D: Dialect>(gateway: Rc<Gateway<D>>, entry: Arc<EndpointEntry>) {
    let asking = tokio::time::timeout(KEPT_WAIT.to_duration(), read_parts(&gateway, &entry));
    let answer = gateway.run_caught("kept_parts", asking).await;
    let parts = answer.and_then(Result::ok).flatten();
    gateway.state.borrow_mut().kept_parts.record(&entry, parts);
    gateway.kept_answers.notify_waiters();
}

/// Asks an engine; `None` if it gives no whole answer that can be read.
async fn read_parts<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    entry: &EndpointEntry,
) -> Option<Vec<KeptPart>> {
    let opened = gateway.connect(entry).await.ok()?;
    let (response, _guard) = opened.connection.send(question::<D>(entry)).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let held = gateway.bodies.for_reply(entry.id.as_str());
    let body = read_held(&mut response.into_body(), MAX_CACHE_ANSWER, held)
        .await
        .ok()?;
    match D::read_kept_parts(&body) {
        Ok(parts) => Some(parts),
        Err(error) => {
            log::warn!(endpoint:% = entry.id, error:%; "engine.answer_refused");
            None
        }
    }
}

/// Returns the question, which only the engine of this entry answers.
fn question<D: Dialect>(entry: &EndpointEntry) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static(D::KEPT_PARTS_PATH);
    D::write_call(request.headers_mut(), &entry.id);
    let host = HeaderValue::from_str(&entry.address.to_string())
        .expect("a socket address is written in visible ASCII");
    request.headers_mut().insert(header::HOST, host);
    request
}
